package org.cuminwell.core.fairness;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests that this gateway runs concurrently for each service to its part of the
 * capacity.
 *
 * <p>The part is the announced capacity divided by the number of gateways that may send there,
 * times {@link #OVERSUBSCRIPTION}, since not all gateways are busy at once. So requests queue in
 * the gateway, where the order is fair, and not in the endpoints. Invariant: counts are positive.
 * Not thread safe: one thread owns it.
 */
public final class ConcurrencyLimiter {

  /** The multiple of its even part of the capacity that one gateway may use. */
  static final double OVERSUBSCRIPTION = 2;

  private final Map<String, Integer> running = new HashMap<>();

  /**
   * Returns whether one more request for the service may start.
   *
   * @param capacity how many requests the reachable endpoints run at once
   * @param gateways how many gateways share them, this one included
   */
  public boolean canStart(String service, int capacity, int gateways) {
    return running.getOrDefault(service, 0) < maxRunning(capacity, gateways);
  }

  /** Records a request that starts. */
  public void recordStarted(String service) {
    running.merge(service, 1, Integer::sum);
  }

  /** Records a request that has ended. */
  public void recordEnded(String service) {
    running.computeIfPresent(service, (id, count) -> count > 1 ? count - 1 : null);
  }

  private static int maxRunning(int capacity, int gateways) {
    double evenPart = (double) capacity / Math.max(1, gateways);
    return Math.min(capacity, Math.max(1, (int) Math.ceil(evenPart * OVERSUBSCRIPTION)));
  }
}
