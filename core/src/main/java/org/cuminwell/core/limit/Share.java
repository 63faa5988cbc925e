package org.cuminwell.core.limit;

/**
 * Represents the part of a customer's rate and burst that one gateway may use.
 *
 * <p>Invariant: neither is negative. Immutable and thread safe.
 *
 * @param tokensPerSecond the part of the rate, in tokens per second
 * @param burstTokens the part of the burst, in tokens
 */
public record Share(long tokensPerSecond, long burstTokens) {

  /** No part at all. */
  public static final Share NONE = new Share(0, 0);

  /**
   * Checks both numbers.
   *
   * @throws IllegalArgumentException if either is negative
   */
  public Share {
    if (tokensPerSecond < 0 || burstTokens < 0) {
      throw new IllegalArgumentException(
          "a share must not be negative; found a rate of "
              + tokensPerSecond
              + " and a burst of "
              + burstTokens);
    }
  }
}
