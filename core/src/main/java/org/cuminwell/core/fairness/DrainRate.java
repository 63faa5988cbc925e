package org.cuminwell.core.fairness;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures the rate at which queued requests start, in tokens per second.
 *
 * <p>Only time during which requests waited counts, and older time counts less. Not thread safe:
 * one thread owns it.
 */
final class DrainRate {

  private static final double HALF_LIFE_NANOS = 2e9;
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private double waitingNanos;
  private Instant measuredUntil = Instant.MIN;

  void recordStarted(long costTokens) {
    tokens += (double) costTokens;
  }

  /**
   * Advances to {@code now}, and counts the time since the last call if requests waited during it.
   */
  void advanceTo(boolean waited, Instant now) {
    if (waited && now.isAfter(measuredUntil) && measuredUntil.isAfter(Instant.MIN)) {
      double elapsedNanos = (double) Duration.between(measuredUntil, now).toNanos();
      double decay = Math.pow(0.5, elapsedNanos / HALF_LIFE_NANOS);
      tokens *= decay;
      waitingNanos = waitingNanos * decay + elapsedNanos;
    }
    measuredUntil = now;
  }

  /** Returns the rate in tokens per second, or infinity if too little time has been measured. */
  double tokensPerSecond() {
    return waitingNanos < HALF_LIFE_NANOS / 4
        ? Double.POSITIVE_INFINITY
        : tokens / waitingNanos * NANOS_PER_SECOND;
  }
}
