package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Sums amounts that decay exponentially with their age.
 *
 * <p>Amounts added at a steady rate sum to the rate times the window. Invariant: the sum is not
 * negative if no amount is. Not thread safe: one thread owns it.
 */
final class DecayingSum {

  private final double windowSeconds;
  private double sum;
  private Instant changedAt = Instant.EPOCH;

  /** Creates an empty sum whose amounts decay to 1/e after {@code windowSeconds}. */
  DecayingSum(double windowSeconds) {
    this.windowSeconds = windowSeconds;
  }

  /** Creates an empty sum whose amounts decay by half in each {@code halfLife}. */
  static DecayingSum ofHalfLife(Duration halfLife) {
    return new DecayingSum(halfLife.toNanos() / 1e9 / Math.log(2));
  }

  void add(double amount, Instant now) {
    sum = valueAt(now) + amount;
    changedAt = now;
  }

  void clear() {
    sum = 0;
  }

  /** Returns the decayed sum. */
  double valueAt(Instant now) {
    if (sum == 0) {
      return 0;
    }
    double age = Math.max(0, Duration.between(changedAt, now).toNanos() / 1e9);
    return sum * Math.exp(-age / windowSeconds);
  }

  /** Returns the amount added per second, averaged over the window. */
  double perSecond(Instant now) {
    return valueAt(now) / windowSeconds;
  }
}
