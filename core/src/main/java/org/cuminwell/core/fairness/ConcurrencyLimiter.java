package org.cuminwell.core.fairness;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts what this gateway has running for each service against its part of the capacity.
 *
 * <p>The part is the announced capacity divided by the gateways that may send there, times {@link
 * #OVERSUBSCRIPTION}, since not all are busy at once. So a queue forms here, where it is fair, and
 * not in the endpoints. Invariant: counts are positive. Not thread safe: one thread owns it.
 */
public final class ConcurrencyLimiter {

  /** How many times its even part of the capacity one gateway may use. */
  static final double OVERSUBSCRIPTION = 2;

  private final Map<String, Integer> running = new HashMap<>();

  /**
   * Returns whether one more request for the service may start.
   *
   * @param capacity how many requests the endpoints in reach run at once
   * @param gateways how many gateways share them, this one included
   */
  public boolean canStart(String service, int capacity, int gateways) {
    return running.getOrDefault(service, 0) < part(capacity, gateways);
  }

  /** Counts a request that starts. */
  public void recordStarted(String service) {
    running.merge(service, 1, Integer::sum);
  }

  /** Counts a request that has ended. */
  public void recordEnded(String service) {
    running.computeIfPresent(service, (id, count) -> count > 1 ? count - 1 : null);
  }

  private static int part(int capacity, int gateways) {
    double even = (double) capacity / Math.max(1, gateways);
    return Math.min(capacity, Math.max(1, (int) Math.ceil(even * OVERSUBSCRIPTION)));
  }
}
