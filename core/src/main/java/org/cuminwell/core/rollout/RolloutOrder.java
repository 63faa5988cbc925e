package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionId;

/**
 * Asks to move a service to another version. Immutable and thread safe.
 *
 * @param duration the time within which all traffic must have moved
 */
public record RolloutOrder(
    String service, VersionId to, Duration duration, ExposureBounds exposure) {

  /** The shortest move that can be asked for. */
  private static final Duration SHORTEST = Duration.ofSeconds(1);

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if the service is not a name or the time is too short
   */
  public RolloutOrder {
    new ServiceRollout(service, to, Instant.EPOCH, Instant.EPOCH.plus(SHORTEST), exposure);
    if (duration.compareTo(SHORTEST) < 0) {
      throw new IllegalArgumentException("a rollout must last " + SHORTEST + " or longer");
    }
  }

  /** Returns the move that begins at the time. */
  ServiceRollout beginAt(Instant at) {
    return new ServiceRollout(service, to, at, at.plus(duration), exposure);
  }
}
