package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Measures one customer's demand for tokens at one gateway.
 *
 * <p>The demand is the larger of the average over {@link #PERIODS} and the average over {@link
 * #RECENT_PERIODS} from whose tokens {@link #largestRequest} is subtracted first. So a rare request
 * adds little, while many requests at once raise it quickly. Not thread safe: one thread owns it.
 */
final class DemandMeter {

  /** Number of periods over which a lasting demand is averaged. */
  private static final int PERIODS = 10;

  /** Number of latest periods over which a sudden demand is averaged. */
  private static final int RECENT_PERIODS = 2;

  /** One second, so that tokens per period are tokens per second. */
  private static final Duration PERIOD = ShareLease.REPORT_PERIOD;

  private final double[] tokensByPeriod = new double[PERIODS];
  private Instant periodStart;
  private int currentPeriod;

  /**
   * The largest estimate of a request since the sum of all periods was last 0 or less. The request
   * may be older than all periods.
   */
  private double largestRequest;

  DemandMeter(Instant now) {
    periodStart = now;
  }

  /**
   * Adds tokens to the current period: the estimate of a request, or what it used beyond its
   * estimate, which may be negative.
   */
  void addTokens(double tokens) {
    tokensByPeriod[currentPeriod] += tokens;
  }

  /** Raises the largest request to the given estimate, in tokens, if that is larger. */
  void updateLargestRequest(double requestTokens) {
    largestRequest = Math.max(largestRequest, requestTokens);
  }

  /** Moves on to the period of {@code now} and drops the tokens of expired periods. */
  void advanceTo(Instant now) {
    for (int i = 0; i < PERIODS && !now.isBefore(periodStart.plus(PERIOD)); i++) {
      periodStart = periodStart.plus(PERIOD);
      currentPeriod = (currentPeriod + 1) % PERIODS;
      tokensByPeriod[currentPeriod] = 0;
    }
    if (!now.isBefore(periodStart.plus(PERIOD))) {
      periodStart = now;
    }
    if (sum(PERIODS) <= 0) {
      largestRequest = 0;
    }
  }

  /** Returns the demand, in tokens per second; never negative. */
  double tokensPerSecond() {
    double average = sum(PERIODS) / PERIODS;
    double recentAverage = (sum(RECENT_PERIODS) - largestRequest) / RECENT_PERIODS;
    return Math.max(0, Math.max(average, recentAverage));
  }

  /**
   * Returns the largest estimate of a request since the sum of all periods was last 0 or less, in
   * tokens.
   */
  double largestRequest() {
    return largestRequest;
  }

  /** Returns the tokens of the last {@code periods}, including the current one. */
  private double sum(int periods) {
    if (periods == PERIODS) {
      return Arrays.stream(tokensByPeriod).sum();
    }
    double sum = 0;
    for (int i = 0; i < periods; i++) {
      sum += tokensByPeriod[(currentPeriod - i + PERIODS) % PERIODS];
    }
    return sum;
  }
}
