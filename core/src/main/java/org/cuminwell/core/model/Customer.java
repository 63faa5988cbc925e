package org.cuminwell.core.model;

import java.util.Set;

/**
 * Describes a customer in the configuration, as its latest ticket set it.
 *
 * <p>Immutable and thread safe.
 *
 * @param keys the hashes of the customer's valid keys
 * @param boundTo the regions that the customer's data must stay in; empty if it is not bound
 * @param rank the priority of the customer's requests; 0 is the highest
 * @param tokensPerPlainCall the tokens charged for a request that states no number of tokens
 */
public record Customer(
    CustomerId id,
    Set<KeyHash> keys,
    TokenLimit limit,
    Set<RegionId> boundTo,
    int rank,
    long tokensPerPlainCall) {

  /** The tokens charged for a plain call unless the configuration sets another number. */
  public static final long DEFAULT_TOKENS_PER_PLAIN_CALL = 1;

  /** Creates a customer of rank 0 with the default charge for plain calls. */
  public Customer(CustomerId id, Set<KeyHash> keys, TokenLimit limit, Set<RegionId> boundTo) {
    this(id, keys, limit, boundTo, 0, DEFAULT_TOKENS_PER_PLAIN_CALL);
  }

  /** Copies the sets. */
  public Customer {
    keys = Set.copyOf(keys);
    boundTo = Set.copyOf(boundTo);
  }
}
