package org.cuminwell.core.model;

/**
 * Bounds how many requests of a service may reach a version that is not proven.
 *
 * <p>Invariant: {@code share} is above 0 and below 1, and {@code slackRequests} is at least 0.
 * Immutable and thread safe.
 *
 * @param share the part of the service's requests, over the whole move
 * @param slackRequests how many requests beyond that part
 */
public record ExposureBounds(double share, double slackRequests) {

  /** Suits a deployment that sets no bounds. */
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
