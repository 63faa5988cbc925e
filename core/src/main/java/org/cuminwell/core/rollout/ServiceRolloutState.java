package org.cuminwell.core.rollout;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.model.VersionId;

/**
 * Holds what version rollouts have left of one service: the last move and the versions that get
 * nothing any more.
 *
 * <p>Invariants: steps of a move follow each other without gaps; after a final state it has no
 * further step; a version that was taken back, or whose move another order replaced, stays barred.
 * Immutable and thread safe.
 */
public record ServiceRolloutState(RolloutProgress last, Set<VersionId> barred) {

  /** Copies the set. */
  public ServiceRolloutState {
    barred = Set.copyOf(barred);
  }

  /**
   * Returns the moves after the order; one for the version of the last move changes nothing.
   *
   * @param before the moves so far, if there were any
   */
  public static ServiceRolloutState afterOrder(
      Optional<ServiceRolloutState> before, RolloutOrder order, Instant recordedAt) {
    if (before.filter(moves -> moves.last.rollout().to().equals(order.to())).isPresent()) {
      return before.orElseThrow();
    }
    Set<VersionId> barred =
        before.map(ServiceRolloutState::barredAfterReplacement).orElse(Set.of());
    RolloutState first =
        barred.contains(order.to())
            ? new RolloutState.TakenBack("the version was taken back before")
            : new RolloutState.Starting();
    return new ServiceRolloutState(
        new RolloutProgress(order.beginAt(recordedAt), 1, first, recordedAt), barred);
  }

  /** Returns the moves after the step, or the same if it does not follow the last one. */
  public ServiceRolloutState afterAdvance(RolloutAdvance advance, Instant recordedAt) {
    boolean follows =
        advance.rollout().equals(last.rollout())
            && advance.step() == last.step() + 1
            && !last.state().isFinal();
    return follows
        ? new ServiceRolloutState(
            new RolloutProgress(advance.rollout(), advance.step(), advance.state(), recordedAt),
            barred)
        : this;
  }

  /** Returns the versions that are barred once another order replaces the last move. */
  public Set<VersionId> barredAfterReplacement() {
    if (last.state() instanceof RolloutState.Done) {
      return barred;
    }
    Set<VersionId> all = new HashSet<>(barred);
    all.add(last.rollout().to());
    return all;
  }
}
