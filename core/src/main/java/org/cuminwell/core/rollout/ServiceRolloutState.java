package org.cuminwell.core.rollout;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.model.VersionId;

/**
 * Holds the state of one service's rollouts: the latest one and the versions that may get no
 * traffic.
 *
 * <p>Invariants: the steps of a rollout follow each other without gaps; no step follows a final
 * state; a version that was rolled back, or whose rollout was replaced by another order before it
 * was done, stays barred. Immutable and thread safe.
 */
public record ServiceRolloutState(RolloutProgress last, Set<VersionId> barred) {

  /** Copies the set. */
  public ServiceRolloutState {
    barred = Set.copyOf(barred);
  }

  /**
   * Returns the state after the order; an order for the version of the latest rollout changes
   * nothing.
   *
   * @param previous the state before the order; empty if the service has had no rollout
   */
  public static ServiceRolloutState afterOrder(
      Optional<ServiceRolloutState> previous, RolloutOrder order, Instant recordedAt) {
    if (previous.filter(state -> state.last.rollout().to().equals(order.to())).isPresent()) {
      return previous.orElseThrow();
    }
    Set<VersionId> barred =
        previous.map(ServiceRolloutState::barredAfterReplacement).orElse(Set.of());
    // The text is replicated state: hosts of different builds must compute the same one.
    RolloutState first =
        barred.contains(order.to())
            ? new RolloutState.TakenBack("the version was taken back before")
            : new RolloutState.Starting();
    return new ServiceRolloutState(
        new RolloutProgress(order.startingAt(recordedAt), 1, first, recordedAt), barred);
  }

  /**
   * Returns the state after the step, or the same state if the step does not follow the last one.
   */
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

  /** Returns the versions that are barred once another order replaces the latest rollout. */
  public Set<VersionId> barredAfterReplacement() {
    if (last.state() instanceof RolloutState.Done) {
      return barred;
    }
    Set<VersionId> all = new HashSet<>(barred);
    all.add(last.rollout().to());
    return all;
  }
}
