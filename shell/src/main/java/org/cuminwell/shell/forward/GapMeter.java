package org.cuminwell.shell.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Measures the mean gap between the parts of a response.
 *
 * <p>Invariant: a mean is taken over at least {@link #PERIOD}. Not thread safe: it belongs to one
 * response.
 */
final class GapMeter {

  /** The minimum period over which a mean gap is measured. */
  static final Duration PERIOD = Duration.ofMillis(200);

  private Instant periodStart;
  private int partsInPeriod;

  /** Starts with the first part, which arrived at {@code now}. */
  GapMeter(Instant now) {
    periodStart = now;
  }

  /** Records a further part, and returns the mean gap once a period has passed. */
  Optional<Duration> recordPart(Instant now) {
    partsInPeriod++;
    Duration elapsed = Duration.between(periodStart, now);
    if (elapsed.compareTo(PERIOD) < 0) {
      return Optional.empty();
    }
    Duration mean = elapsed.dividedBy(partsInPeriod);
    periodStart = now;
    partsInPeriod = 0;
    return Optional.of(mean);
  }
}
