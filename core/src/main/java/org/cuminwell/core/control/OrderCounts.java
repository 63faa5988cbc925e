package org.cuminwell.core.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the orders that were carried out on each subject, so that an order can tell whether
 * another one has come before it.
 *
 * <p>Invariant: a count never goes down. Not thread safe: the owner of the {@link ReplicatedState}
 * owns it.
 */
final class OrderCounts {

  private final Map<OrderSubject, Long> counts;

  OrderCounts(Map<OrderSubject, Long> counts) {
    this.counts = new HashMap<>(counts);
  }

  /** Returns the number of orders that were carried out on the subject. */
  long count(OrderSubject subject) {
    return counts.getOrDefault(subject, 0L);
  }

  /** Counts one more order on the subject. */
  void increment(OrderSubject subject) {
    counts.merge(subject, 1L, Long::sum);
  }

  /** Returns the counts that are not 0. */
  Map<OrderSubject, Long> snapshot() {
    return Map.copyOf(counts);
  }
}
