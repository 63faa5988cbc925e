package org.cuminwell.app;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Limits how many lines libraries may write, since some write one for each response that breaks
 * off, which the project's own lines tell already.
 *
 * <p>Invariant: at most {@link #LINES_PER_PERIOD} lines are allowed in a period; the others are
 * counted. Thread safe.
 */
final class LibraryLineLimit {

  static final int LINES_PER_PERIOD = 20;
  static final Duration PERIOD = Duration.ofSeconds(1);

  private static final String OWN_LOGGERS = "org.cuminwell";

  private Instant periodStart = Instant.MIN;
  private int linesInPeriod;
  private long suppressed;

  /**
   * Returns whether a line of the logger may be written at {@code now}; counts it if not.
   *
   * @param logger the name of the logger; null if it has none, as no library's does
   */
  synchronized boolean allows(@Nullable String logger, Instant now) {
    if (logger == null || logger.startsWith(OWN_LOGGERS)) {
      return true;
    }
    boolean isNewPeriod =
        periodStart.equals(Instant.MIN)
            || now.isBefore(periodStart)
            || !now.isBefore(periodStart.plus(PERIOD));
    if (isNewPeriod) {
      periodStart = now;
      linesInPeriod = 0;
    }
    if (linesInPeriod >= LINES_PER_PERIOD) {
      suppressed++;
      return false;
    }
    linesInPeriod++;
    return true;
  }

  /** Returns how many lines were not allowed since the last call. */
  synchronized long takeSuppressed() {
    long taken = suppressed;
    suppressed = 0;
    return taken;
  }
}
