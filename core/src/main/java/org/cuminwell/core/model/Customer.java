package org.cuminwell.core.model;

import java.util.Set;

/**
 * Describes a customer as its last ticket left it.
 *
 * <p>Immutable and thread safe.
 *
 * @param keys the hashes of the keys that work now
 * @param boundTo the regions that the customer's data must stay in; empty if it is not bound
 * @param rank the order in which its requests give way, which goes before a route's; 0 goes first
 * @param tokensPerPlainCall what a request is charged that tells no number of tokens, in tokens
 */
public record Customer(
    CustomerId id,
    Set<KeyHash> keys,
    TokenLimit limit,
    Set<RegionId> boundTo,
    int rank,
    long tokensPerPlainCall) {

  /** The tokens that a plain call is charged unless the configuration says otherwise. */
  public static final long DEFAULT_TOKENS_PER_PLAIN_CALL = 1;

  /** Makes a customer of the first rank. */
  public Customer(CustomerId id, Set<KeyHash> keys, TokenLimit limit, Set<RegionId> boundTo) {
    this(id, keys, limit, boundTo, 0, DEFAULT_TOKENS_PER_PLAIN_CALL);
  }

  /** Copies the sets. */
  public Customer {
    keys = Set.copyOf(keys);
    boundTo = Set.copyOf(boundTo);
  }
}
