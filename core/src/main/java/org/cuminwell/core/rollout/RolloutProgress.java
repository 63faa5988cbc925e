package org.cuminwell.core.rollout;

import java.time.Instant;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionRollout;

/**
 * Records one step of a version rollout. Immutable and thread safe.
 *
 * @param step counts the recorded changes of this move, from 1
 * @param recordedAt when the step was recorded, by the time of the log
 */
public record RolloutProgress(
    VersionRollout rollout, long step, RolloutState state, Instant recordedAt) {

  /**
   * Returns the step since which evidence counts. That of a service counts from the beginning, for
   * its time is short and its share stays small.
   */
  public long evidenceStep() {
    return switch (rollout) {
      case RouteRollout _ -> step;
      case ServiceRollout _ -> 1;
    };
  }
}
