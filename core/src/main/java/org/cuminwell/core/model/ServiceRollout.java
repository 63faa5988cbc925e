package org.cuminwell.core.model;

import java.time.Duration;
import java.time.Instant;

/**
 * States a version rollout of a service, with all forwarded routes that lead to it.
 *
 * <p>The old version is whatever the service's endpoints run besides {@code to}. Invariant: the
 * deadline lies after the beginning. Immutable and thread safe.
 *
 * @param startedAt when the order was recorded
 * @param deadline the time by which all traffic must have moved
 */
public record ServiceRollout(
    String service, VersionId to, Instant startedAt, Instant deadline, ExposureBounds exposure)
    implements VersionRollout {

  /** How far the new version's failure rate may lie above the old version's. */
  private static final double MAX_FAILURE_RISE = 0.05;

  /** How many times the old version's latency the new version may take. */
  private static final double MAX_SLOWDOWN = 2.5;

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if an invariant does not hold
   */
  public ServiceRollout {
    Names.requireName(service, "service");
    if (!deadline.isAfter(startedAt)) {
      throw new IllegalArgumentException("a rollout must last some time");
    }
  }

  @Override
  public RolloutBounds bounds() {
    return new RolloutBounds(exposure.share(), MAX_FAILURE_RISE, MAX_SLOWDOWN);
  }

  /** Returns the time from the beginning to the deadline. */
  public Duration duration() {
    return Duration.between(startedAt, deadline);
  }
}
