package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures how many tokens a customer asks for at one gateway.
 *
 * <p>A rise shows at the end of a period, a fall over a few. Not thread safe: one thread owns it.
 */
final class DemandMeter {

  private static final double KEPT = 0.7;
  private static final long PERIOD_NANOS = ShareLease.REPORT_PERIOD.toNanos();

  private Instant periodStart;
  private double periodTokens;
  private double tokensPerSecond;
  private double largest;

  DemandMeter(Instant now) {
    periodStart = now;
  }

  void add(double tokens) {
    periodTokens += tokens;
  }

  void sized(double tokens) {
    largest = Math.max(largest, tokens);
  }

  /** Closes the period if it is over, and returns whether it did. */
  boolean roll(Instant now) {
    long nanos = Duration.between(periodStart, now).toNanos();
    if (nanos < PERIOD_NANOS) {
      return false;
    }
    double latest = Math.max(0, periodTokens) * 1e9 / nanos;
    double kept = Math.pow(KEPT, (double) nanos / PERIOD_NANOS);
    tokensPerSecond = Math.max(latest, kept * tokensPerSecond + (1 - kept) * latest);
    largest = periodTokens == 0 && tokensPerSecond < 1 ? 0 : largest * 0.98;
    periodStart = now;
    periodTokens = 0;
    return true;
  }

  /** Returns the demand with what the running period already shows, in tokens a second. */
  double tokensPerSecond() {
    return Math.max(tokensPerSecond, periodTokens);
  }

  double largest() {
    return largest;
  }
}
