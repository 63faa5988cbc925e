package org.cuminwell.core.model;

/**
 * Limits how many tokens a customer may use on all hosts together.
 *
 * <p>Invariant: both numbers are positive. Immutable and thread safe.
 *
 * @param tokensPerSecond the sustained rate, in tokens a second
 * @param burstTokens how many tokens may be used at once after a pause
 */
public record TokenLimit(long tokensPerSecond, long burstTokens) {

  private static final long NEVER_REACHED = Long.MAX_VALUE / 4;

  /** A limit so high that it is never reached. */
  public static final TokenLimit UNLIMITED = new TokenLimit(NEVER_REACHED, NEVER_REACHED);

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
