package org.cuminwell.core.rollout;

import java.time.Instant;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionRollout;

/**
 * Records one step of a rollout. Immutable and thread safe.
 *
 * @param step the number of the step, counted from 1 within this rollout
 * @param recordedAt when the step was recorded, by the time of the replicated log
 */
public record RolloutProgress(
    VersionRollout rollout, long step, RolloutState state, Instant recordedAt) {

  /**
   * Returns the step since which evidence counts. The evidence of a service's rollout counts from
   * its start, since its time is short and its share stays small.
   */
  public long evidenceStep() {
    return switch (rollout) {
      case RouteRollout _ -> step;
      case ServiceRollout _ -> 1;
    };
  }
}
