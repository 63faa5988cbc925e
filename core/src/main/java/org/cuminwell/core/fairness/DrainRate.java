package org.cuminwell.core.fairness;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures how many tokens of waiting requests start a second.
 *
 * <p>Only time in which requests waited counts. Not thread safe: one thread owns it.
 */
final class DrainRate {

  private static final double HALF_LIFE_NANOS = 2e9;
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private double nanos;
  private Instant countedTo = Instant.MIN;

  void started(long costTokens) {
    tokens += (double) costTokens;
  }

  /** Counts the time since the last call if requests waited in it. */
  void pass(boolean waited, Instant now) {
    if (waited && now.isAfter(countedTo) && countedTo.isAfter(Instant.MIN)) {
      double passed = (double) Duration.between(countedTo, now).toNanos();
      double kept = Math.pow(0.5, passed / HALF_LIFE_NANOS);
      tokens *= kept;
      nanos = nanos * kept + passed;
    }
    countedTo = now;
  }

  /** Returns the rate in tokens a second, or infinity while nothing is known. */
  double tokensPerSecond() {
    return nanos < HALF_LIFE_NANOS / 4
        ? Double.POSITIVE_INFINITY
        : tokens / nanos * NANOS_PER_SECOND;
  }
}
