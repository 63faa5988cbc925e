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

  private final double[] tokens = new double[PERIODS];
  private Instant periodStart;
  private int period;
  private double largest;

  DemandMeter(Instant now) {
    periodStart = now;
  }

  void add(double added) {
    tokens[period] += added;
  }

  void sized(double size) {
    largest = Math.max(largest, size);
  }

  /** Drops what is older than all periods. */
  void roll(Instant now) {
    for (int i = 0; i < PERIODS && !now.isBefore(periodStart.plus(PERIOD)); i++) {
      periodStart = periodStart.plus(PERIOD);
      period = (period + 1) % PERIODS;
      tokens[period] = 0;
    }
    if (!now.isBefore(periodStart.plus(PERIOD))) {
      periodStart = now;
    }
    if (sum(PERIODS) <= 0) {
      largest = 0;
    }
  }

  /** Returns the demand, in tokens a second. */
  double tokensPerSecond() {
    double lasting = sum(PERIODS) / PERIODS;
    double recent = (sum(RECENT_PERIODS) - largest) / RECENT_PERIODS;
    return Math.max(0, Math.max(lasting, recent));
  }

  double largest() {
    return largest;
  }

  private double sum(int periods) {
    if (periods == PERIODS) {
      return Arrays.stream(tokens).sum();
    }
    double sum = 0;
    for (int i = 0; i < periods; i++) {
      sum += tokens[(period - i + PERIODS) % PERIODS];
    }
    return sum;
  }
}
