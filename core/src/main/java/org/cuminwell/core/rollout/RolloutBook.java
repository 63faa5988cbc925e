package org.cuminwell.core.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionMove;

/**
 * Keeps the recorded steps of version moves of routes, one move a route.
 *
 * <p>Invariants: steps follow each other without gaps; after a final state a move has no further
 * step. A later ticket with the same content is the same move and changes nothing; one that differs
 * in any part, as in its deadline, is a new move. Not thread safe: one thread owns it.
 */
public final class RolloutBook {

  private final TreeMap<RouteId, RolloutProgress> moves = new TreeMap<>();

  /** Makes a book without moves. */
  public RolloutBook() {}

  /** Makes a book of what another one held. */
  public RolloutBook(List<RolloutProgress> moves) {
    moves.forEach(move -> this.moves.put(routeOf(move.rollout()), move));
  }

  /** Records the step if it is the next one, and returns whether it was. */
  public boolean apply(RolloutAdvance advance, Instant at) {
    Optional<RolloutProgress> last = find(advance.rollout());
    boolean open = last.map(move -> !move.state().isFinal()).orElse(true);
    long next = last.map(RolloutProgress::step).orElse(0L) + 1;
    if (!open || advance.step() != next) {
      return false;
    }
    moves.put(
        routeOf(advance.rollout()),
        new RolloutProgress(advance.rollout(), advance.step(), advance.state(), at));
    return true;
  }

  /** Returns the last step of this very move. */
  public Optional<RolloutProgress> find(VersionMove rollout) {
    return Optional.ofNullable(moves.get(routeOf(rollout)))
        .filter(move -> move.rollout().equals(rollout));
  }

  /** Returns whether a move has not reached its end. */
  public boolean hasOpen() {
    return moves.values().stream().anyMatch(move -> !move.state().isFinal());
  }

  /** Returns the last step of the last move of each route. */
  public List<RolloutProgress> all() {
    return List.copyOf(moves.values());
  }

  private static RouteId routeOf(VersionMove move) {
    return switch (move) {
      case Rollout rollout -> rollout.route();
      case ServiceRollout rollout ->
          throw new IllegalArgumentException(
              "service " + rollout.service() + " is kept with the forwarded routes");
    };
  }
}
