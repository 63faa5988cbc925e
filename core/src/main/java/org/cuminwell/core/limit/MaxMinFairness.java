package org.cuminwell.core.limit;

import java.util.Arrays;

/** Divides an amount by max-min fairness. Stateless and thread safe. */
public final class MaxMinFairness {

  private MaxMinFairness() {}

  /**
   * Returns the allocation to each demand. None gets more than it demands, and none could get more
   * without taking from one that gets no more than it does.
   */
  public static double[] divide(double amount, double[] demands) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double remaining = amount;
    double level = Double.POSITIVE_INFINITY;
    for (int i = 0; i < sorted.length; i++) {
      double evenPart = remaining / (sorted.length - i);
      if (sorted[i] >= evenPart) {
        level = evenPart;
        break;
      }
      remaining -= sorted[i];
    }
    double cap = level;
    return Arrays.stream(demands).map(demand -> Math.min(demand, cap)).toArray();
  }
}
