package org.cuminwell.core.model;

/**
 * States how many tokens a customer may use, counted over all hosts together.
 *
 * <p>Invariant: both are positive. Immutable and thread safe.
 *
 * @param tokensPerSecond the lasting rate, in tokens a second
 * @param burstTokens how many tokens may be used at once after a pause
 */
public record TokenLimit(long tokensPerSecond, long burstTokens) {

  private static final long NO_BOUND = Long.MAX_VALUE / 4;

  /** Lets everything through. */
  public static final TokenLimit UNLIMITED = new TokenLimit(NO_BOUND, NO_BOUND);

  /**
   * Checks both numbers.
   *
   * @throws IllegalArgumentException if either is not positive
   */
  public TokenLimit {
    if (tokensPerSecond <= 0 || burstTokens <= 0) {
      throw new IllegalArgumentException(
          "rate and burst must be at least 1 token; found "
              + tokensPerSecond
              + " and "
              + burstTokens);
    }
  }
}
