package org.cuminwell.core.rollout;

import java.time.Instant;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionMove;

/**
 * Records one step of a version move. Immutable and thread safe.
 *
 * @param step counts the recorded changes of this move, from 1
 * @param at when the step was recorded, by the time of the log
 */
public record RolloutProgress(VersionMove rollout, long step, RolloutState state, Instant at) {

  /**
   * Returns the step since which evidence counts. That of a service counts from the beginning, for
   * its time is short and its share stays small.
   */
  public long evidenceStep() {
    return switch (rollout) {
      case Rollout _ -> step;
      case ServiceRollout _ -> 1;
    };
  }
}
