package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionId;

/**
 * Orders a rollout of a service to another version.
 *
 * <p>Invariant: the duration is a whole number of milliseconds, from a second to {@link
 * #MAX_DURATION}. Immutable and thread safe.
 *
 * @param duration the time within which all traffic must have moved
 */
public record RolloutOrder(
    String service, VersionId to, Duration duration, ExposureBounds exposure) {

  /** The maximum duration of a rollout; a deadline is kept in nanoseconds since 1970. */
  public static final Duration MAX_DURATION = Duration.ofDays(200 * 365);

  private static final Duration MIN_DURATION = Duration.ofSeconds(1);

  /**
   * Checks the service name and the duration.
   *
   * @throws IllegalArgumentException if the service is not a valid name or the duration is out of
   *     its range
   */
  public RolloutOrder {
    new ServiceRollout(service, to, Instant.EPOCH, Instant.EPOCH.plus(MIN_DURATION), exposure);
    if (duration.compareTo(MIN_DURATION) < 0 || duration.compareTo(MAX_DURATION) > 0) {
      throw new IllegalArgumentException(
          "a rollout must last from "
              + MIN_DURATION.toSeconds()
              + " s to "
              + MAX_DURATION.toSeconds()
              + " s");
    }
    if (!duration.equals(duration.truncatedTo(ChronoUnit.MILLIS))) {
      throw new IllegalArgumentException("a rollout must last a whole number of milliseconds");
    }
  }

  /** Returns the rollout that starts at the given time. */
  ServiceRollout startingAt(Instant at) {
    return new ServiceRollout(service, to, at, at.plus(duration), exposure);
  }
}
