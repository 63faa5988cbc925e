package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Sums amounts that count less the longer ago they were added.
 *
 * <p>An amount added at a steady rate sums to the rate times the window. Invariant: the sum is not
 * below zero while no amount is. Not thread safe: one thread owns it.
 */
final class FadingSum {

  private final double windowSeconds;
  private double sum;
  private Instant changedAt = Instant.EPOCH;

  /** Makes an empty sum whose amounts fall to 1/e after {@code windowSeconds}. */
  FadingSum(double windowSeconds) {
    this.windowSeconds = windowSeconds;
  }

  /** Makes an empty sum whose amounts fall to a half after {@code halfLife}. */
  static FadingSum ofHalfLife(Duration halfLife) {
    return new FadingSum(halfLife.toNanos() / 1e9 / Math.log(2));
  }

  void add(double amount, Instant now) {
    sum = at(now) + amount;
    changedAt = now;
  }

  void clear() {
    sum = 0;
  }

  /** Returns the sum as it is now. */
  double at(Instant now) {
    if (sum == 0) {
      return 0;
    }
    double age = Math.max(0, Duration.between(changedAt, now).toNanos() / 1e9);
    return sum * Math.exp(-age / windowSeconds);
  }

  /** Returns the amount added a second. */
  double perSecond(Instant now) {
    return at(now) / windowSeconds;
  }
}
