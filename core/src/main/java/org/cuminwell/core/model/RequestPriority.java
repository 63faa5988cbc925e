package org.cuminwell.core.model;

import java.util.Comparator;
import java.util.Optional;

/**
 * Represents the priority of a request: the rank of its customer, then the rank of its route.
 *
 * <p>Invariant: ranks are at least 0, and 0 is the highest. Requests order by customer rank before
 * route rank. Immutable and thread safe.
 */
public record RequestPriority(int customerRank, int routeRank)
    implements Comparable<RequestPriority> {

  /** The rank from which on ranks of the same kind are no longer told apart as urgencies. */
  private static final int MAX_DISTINCT_RANK = 2;

  /** The number of distinct urgencies. */
  public static final int URGENCY_LEVELS = (MAX_DISTINCT_RANK + 1) * (MAX_DISTINCT_RANK + 1);

  private static final Comparator<RequestPriority> ORDER =
      Comparator.comparingInt(RequestPriority::customerRank)
          .thenComparingInt(RequestPriority::routeRank);

  /** Raises negative ranks to 0. */
  public RequestPriority {
    customerRank = Math.max(0, customerRank);
    routeRank = Math.max(0, routeRank);
  }

  /** Returns the priority of the route's requests for the customer, if there is one. */
  public static RequestPriority of(Optional<Customer> customer, ForwardRoute route) {
    return new RequestPriority(customer.map(Customer::rank).orElse(0), route.rank());
  }

  /**
   * Returns a number below {@link #URGENCY_LEVELS} that orders requests as their priorities do; 0
   * is the most urgent. Ranks above 2 count as 2.
   */
  public int urgency() {
    return Math.min(customerRank, MAX_DISTINCT_RANK) * (MAX_DISTINCT_RANK + 1)
        + Math.min(routeRank, MAX_DISTINCT_RANK);
  }

  @Override
  public int compareTo(RequestPriority other) {
    return ORDER.compare(this, other);
  }
}
