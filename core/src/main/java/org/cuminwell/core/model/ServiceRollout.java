package org.cuminwell.core.model;

import java.time.Duration;
import java.time.Instant;

/**
 * Describes a rollout of a service to another version, on all forwarded routes that lead to the
 * service.
 *
 * <p>The old version is any other version that the service's endpoints run. Invariant: the deadline
 * is after the start. Immutable and thread safe.
 *
 * @param startedAt when the order was recorded
 * @param deadline the time by which all traffic must have moved
 */
public record ServiceRollout(
    String service, VersionId to, Instant startedAt, Instant deadline, ExposureBounds exposure)
    implements VersionRollout {

  /** The maximum difference between the failure rates of the new and the old version. */
  private static final double MAX_FAILURE_RISE = 0.05;

  /** The maximum ratio of the new version's latency to the old version's. */
  private static final double MAX_SLOWDOWN = 2.5;

  /**
   * Checks the service name and the times.
   *
   * @throws IllegalArgumentException if an invariant does not hold
   */
  public ServiceRollout {
    Names.requireName(service, "service");
    if (!deadline.isAfter(startedAt)) {
      throw new IllegalArgumentException("the deadline of a rollout must be after its start");
    }
  }

  @Override
  public RolloutBounds bounds() {
    return new RolloutBounds(exposure.share(), MAX_FAILURE_RISE, MAX_SLOWDOWN);
  }

  /** Returns the time from the start to the deadline. */
  public Duration duration() {
    return Duration.between(startedAt, deadline);
  }
}
