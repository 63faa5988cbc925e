package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionId;

/**
 * Orders a rollout of a service to another version. Immutable and thread safe.
 *
 * @param duration the time within which all traffic must have moved
 */
public record RolloutOrder(
    String service, VersionId to, Duration duration, ExposureBounds exposure) {

  /** The minimum duration of a rollout. */
  private static final Duration MIN_DURATION = Duration.ofSeconds(1);

  /**
   * Checks the service name and the duration.
   *
   * @throws IllegalArgumentException if the service is not a valid name or the duration is too
   *     short
   */
  public RolloutOrder {
    new ServiceRollout(service, to, Instant.EPOCH, Instant.EPOCH.plus(MIN_DURATION), exposure);
    if (duration.compareTo(MIN_DURATION) < 0) {
      throw new IllegalArgumentException("a rollout must last " + MIN_DURATION + " or longer");
    }
  }

  /** Returns the rollout that starts at the given time. */
  ServiceRollout startingAt(Instant at) {
    return new ServiceRollout(service, to, at, at.plus(duration), exposure);
  }
}
