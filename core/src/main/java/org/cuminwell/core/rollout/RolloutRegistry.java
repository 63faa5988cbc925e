package org.cuminwell.core.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionRollout;

/**
 * Keeps the recorded steps of version rollouts of routes, one move a route.
 *
 * <p>Invariants: steps follow each other without gaps; after a final state a move has no further
 * step. A later ticket with the same content is the same move and changes nothing; one that differs
 * in any part, as in its deadline, is a new move. Not thread safe: one thread owns it.
 */
public final class RolloutRegistry {

  private final TreeMap<RouteId, RolloutProgress> moves = new TreeMap<>();

  /** Makes a book without moves. */
  public RolloutRegistry() {}

  /** Makes a book of what another one held. */
  public RolloutRegistry(List<RolloutProgress> moves) {
    moves.forEach(move -> this.moves.put(routeOf(move.rollout()), move));
  }

  /** Records the step if it is the next one, and returns whether it was. */
  public boolean apply(RolloutAdvance advance, Instant recordedAt) {
    Optional<RolloutProgress> last = find(advance.rollout());
    boolean open = last.map(move -> !move.state().isFinal()).orElse(true);
    long next = last.map(RolloutProgress::step).orElse(0L) + 1;
    if (!open || advance.step() != next) {
      return false;
    }
    moves.put(
        routeOf(advance.rollout()),
        new RolloutProgress(advance.rollout(), advance.step(), advance.state(), recordedAt));
    return true;
  }

  /** Returns the last step of this very move. */
  public Optional<RolloutProgress> find(VersionRollout rollout) {
    return Optional.ofNullable(moves.get(routeOf(rollout)))
        .filter(move -> move.rollout().equals(rollout));
  }

  /** Returns whether a move has not reached its end. */
  public boolean hasUnfinished() {
    return moves.values().stream().anyMatch(move -> !move.state().isFinal());
  }

  /** Returns the last step of the last move of each route. */
  public List<RolloutProgress> latestSteps() {
    return List.copyOf(moves.values());
  }

  private static RouteId routeOf(VersionRollout move) {
    return switch (move) {
      case RouteRollout routeRollout -> routeRollout.route();
      case ServiceRollout rollout ->
          throw new IllegalArgumentException(
              "service " + rollout.service() + " is kept with the forwarded routes");
    };
  }
}
