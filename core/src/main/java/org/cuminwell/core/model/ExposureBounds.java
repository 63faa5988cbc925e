package org.cuminwell.core.model;

/**
 * Limits how many requests of a service may go to a new version before it is proven by comparison
 * with the old one.
 *
 * <p>Invariant: {@code share} is above 0 and below 1, and {@code slackRequests} is at least 0.
 * Immutable and thread safe.
 *
 * @param share the fraction of the service's requests during the whole rollout
 * @param slackRequests how many requests are allowed in addition to that fraction
 */
public record ExposureBounds(double share, double slackRequests) {

  /** The bounds of a deployment that sets none. */
  public static final ExposureBounds DEFAULT = new ExposureBounds(0.05, 0);

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if a bound is out of its range
   */
  public ExposureBounds {
    if (!(share > 0 && share < 1)) {
      throw new IllegalArgumentException("exposure share must be above 0 and below 1");
    }
    if (!(slackRequests >= 0)) {
      throw new IllegalArgumentException("exposure slack must be 0 or more");
    }
  }
}
