package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures how often something happens, in events per second; older events count less.
 *
 * <p>Not thread safe.
 */
final class DecayingRate {

  private static final double NANOS_PER_SECOND = 1e9;

  /** The least time that events are related to, so that the first ones give no extreme rate. */
  private static final double MIN_MEASURED_NANOS = 1e8;

  private final double halfLifeNanos;
  private double events;
  private double measuredNanos;
  private Instant updatedAt;

  DecayingRate(Duration halfLife, Instant now) {
    halfLifeNanos = (double) halfLife.toNanos();
    updatedAt = now;
  }

  void record(Instant now) {
    advanceTo(now);
    events++;
  }

  /** Returns the rate in events per second. */
  double perSecond(Instant now) {
    advanceTo(now);
    return events / Math.max(measuredNanos, MIN_MEASURED_NANOS) * NANOS_PER_SECOND;
  }

  private void advanceTo(Instant now) {
    if (now.isAfter(updatedAt)) {
      double elapsedNanos = (double) Duration.between(updatedAt, now).toNanos();
      double decay = Math.pow(0.5, elapsedNanos / halfLifeNanos);
      events *= decay;
      // The integral of the weights over the elapsed time.
      measuredNanos = measuredNanos * decay + (1 - decay) * halfLifeNanos / Math.log(2);
      updatedAt = now;
    }
  }
}
