package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;

/**
 * Admits requests of each customer within its token rate and burst.
 *
 * <p>An estimate is charged at admission and settled when the request ends. Not thread safe: one
 * thread owns it.
 */
public final class CustomerLimits {

  private final Map<CustomerId, TokenBucket> buckets = new HashMap<>();

  /**
   * Charges the estimate if the customer has it.
   *
   * @param tokens the estimate, in tokens
   * @return empty if admitted, else how long the customer should wait
   */
  public Optional<Duration> admit(Customer customer, long tokens, Instant now) {
    TokenBucket bucket = bucket(customer, now);
    return bucket.tryTake(tokens, now)
        ? Optional.empty()
        : Optional.of(bucket.timeUntil(tokens, now));
  }

  /** Replaces the estimate that was charged by what was used. */
  public void settle(Customer customer, long estimate, long used, Instant now) {
    bucket(customer, now).charge(used - estimate, now);
  }

  private TokenBucket bucket(Customer customer, Instant now) {
    TokenBucket bucket =
        buckets.computeIfAbsent(customer.id(), id -> TokenBucket.full(customer.limit(), now));
    bucket.change(customer.limit(), now);
    return bucket;
  }
}
