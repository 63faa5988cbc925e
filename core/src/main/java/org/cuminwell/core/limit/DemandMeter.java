package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Measures how many tokens a customer asks for at one gateway.
 *
 * <p>A single request counts as its tokens spread over {@link #PERIODS}, so that rare requests
 * hardly move it; many at once show after a period. Not thread safe: one thread owns it.
 */
final class DemandMeter {

  private static final int PERIODS = 10;
  private static final int RECENT_PERIODS = 2;
  private static final Duration PERIOD = ShareLease.REPORT_PERIOD;

  private final double[] tokensByPeriod = new double[PERIODS];
  private Instant periodStart;
  private int currentPeriod;
  private double largestRequest;

  DemandMeter(Instant now) {
    periodStart = now;
  }

  void add(double addedTokens) {
    tokensByPeriod[currentPeriod] += addedTokens;
  }

  void recordRequestSize(double requestTokens) {
    largestRequest = Math.max(largestRequest, requestTokens);
  }

  /** Drops what is older than all periods. */
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

  /** Returns the demand, in tokens a second. */
  double tokensPerSecond() {
    double average = sum(PERIODS) / PERIODS;
    double recentAverage = (sum(RECENT_PERIODS) - largestRequest) / RECENT_PERIODS;
    return Math.max(0, Math.max(average, recentAverage));
  }

  double largestRequest() {
    return largestRequest;
  }

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
