package org.cuminwell.core.model;

import java.util.Set;

/**
 * Describes a customer as its last ticket left it.
 *
 * <p>Immutable and thread safe.
 *
 * @param keys the hashes of the keys that work now
 * @param boundTo the regions that the customer's data must stay in; empty if it is not bound
 */
public record Customer(CustomerId id, Set<KeyHash> keys, TokenLimit limit, Set<RegionId> boundTo) {

  /** Copies the sets. */
  public Customer {
    keys = Set.copyOf(keys);
    boundTo = Set.copyOf(boundTo);
  }
}
