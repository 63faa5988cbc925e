package org.cuminwell.core.forward;

import java.time.Duration;

/**
 * Bounds what a gateway does with forwarded requests. Immutable and thread safe.
 *
 * @param keyLease how long after the configuration was last known to be the latest keys are taken
 * @param retryRatio the retries that all gateways together may make for one request, on average
 * @param retryBurst the retries that all gateways together may make beyond that at once
 */
public record ForwardBounds(Duration keyLease, double retryRatio, int retryBurst) {

  /** Suits a deployment that sets no bounds. */
  public static final ForwardBounds DEFAULT = new ForwardBounds(Duration.ofDays(1), 0.2, 20);

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if one is negative
   */
  public ForwardBounds {
    if (keyLease.isNegative() || retryRatio < 0 || retryBurst < 0) {
      throw new IllegalArgumentException("bounds must not be negative");
    }
  }
}
