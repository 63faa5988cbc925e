package org.cuminwell.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures how many requests of a queue start per second.
 *
 * <p>Only time during which requests waited counts, and older time counts less. Not thread safe:
 * the thread of its {@link EngineQueue} owns it.
 */
final class StartRate {

  /** The rate assumed before anything was measured, in requests per second. */
  private static final double INITIAL_PER_SECOND = 20;

  /** The time for which the initial rate counts as measured. */
  private static final double INITIAL_SECONDS = 0.25;

  private static final double HALF_LIFE_SECONDS = 1;

  /** Less than this would make the expected wait of one request unbounded. */
  private static final double MIN_PER_SECOND = 0.5;

  private double started = INITIAL_PER_SECOND * INITIAL_SECONDS;
  private double waitedSeconds = INITIAL_SECONDS;
  private Instant measuredUntil = Instant.MIN;

  void recordStarted() {
    started++;
  }

  /** Advances to {@code now}, and counts the time since the last call if requests waited in it. */
  void advanceTo(boolean waited, Instant now) {
    if (waited && now.isAfter(measuredUntil) && measuredUntil.isAfter(Instant.MIN)) {
      double seconds = Duration.between(measuredUntil, now).toNanos() / 1e9;
      double decay = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
      started *= decay;
      waitedSeconds = waitedSeconds * decay + seconds;
    }
    measuredUntil = now;
  }

  /** Returns the rate in requests per second. */
  double perSecond() {
    return Math.max(MIN_PER_SECOND, started / waitedSeconds);
  }
}
