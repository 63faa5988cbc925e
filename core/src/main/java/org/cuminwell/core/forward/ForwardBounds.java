package org.cuminwell.core.forward;

import java.time.Duration;

/**
 * Limits how long keys are accepted without a current configuration, and how many requests are
 * retried. Immutable and thread safe.
 *
 * @param keyLease how long keys are accepted after the configuration was last confirmed as the
 *     latest
 * @param retryRatio the mean number of retries for one request, over all gateways
 * @param retryBurst the retries beyond that ratio that all gateways together may make at once
 */
public record ForwardBounds(Duration keyLease, double retryRatio, int retryBurst) {

  /** The largest number of attempts of one request, whatever its route and their verdicts. */
  public static final int MAX_ATTEMPTS = 4;

  /** The limits of a deployment that configures none. */
  public static final ForwardBounds DEFAULT = new ForwardBounds(Duration.ofDays(1), 0.2, 20);

  /** Checks that no limit is negative. */
  public ForwardBounds {
    if (keyLease.isNegative() || retryRatio < 0 || retryBurst < 0) {
      throw new IllegalArgumentException(
          "key lease, retry ratio and retry burst must not be negative");
    }
  }
}
