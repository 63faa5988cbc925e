package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures the rate of admitted requests, and which rate the gateway has lately handled without
 * delay.
 *
 * <p>Not thread safe.
 */
final class AdmittedRate {

  private static final Duration SHORT_HALF_LIFE = Duration.ofMillis(200);
  private static final Duration LONG_HALF_LIFE = Duration.ofSeconds(1);

  /** The part that is left of the proven rate after an interval in which it was not reached. */
  private static final double KEPT = 0.998;

  /** The part that is left of it after an interval with too long a delay. */
  private static final double KEPT_IF_DELAYED = 0.95;

  private final DecayingRate recent;
  private final DecayingRate mean;
  private double proven;

  AdmittedRate(Instant now) {
    recent = new DecayingRate(SHORT_HALF_LIFE, now);
    mean = new DecayingRate(LONG_HALF_LIFE, now);
  }

  void record(Instant now) {
    recent.record(now);
    mean.record(now);
  }

  /** Ends an interval in which the delay stayed within its bound or not. */
  void endInterval(boolean isDelayed, Instant now) {
    proven =
        isDelayed
            ? Math.max(recent.perSecond(now), proven * KEPT_IF_DELAYED)
            : Math.max(mean.perSecond(now), proven * KEPT);
  }

  /** Returns the rate of the last 200 ms or so, in requests per second. */
  double recentPerSecond(Instant now) {
    return recent.perSecond(now);
  }

  /**
   * Returns the highest rate that was handled without delay in the last intervals, whether or not
   * the process was paused since.
   */
  double provenPerSecond() {
    return proven;
  }
}
