package org.cuminwell.core.model;

/**
 * Counts the tokens of one request, which the customer is charged for.
 *
 * <p>Invariant: neither count is negative. Immutable and thread safe.
 */
public record Usage(long promptTokens, long completionTokens) {

  /** The usage of a request that used no tokens. */
  public static final Usage NONE = new Usage(0, 0);

  /**
   * Checks the counts.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public Usage {
    if (promptTokens < 0 || completionTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }

  /** Returns the sum of both counts. */
  public long total() {
    return promptTokens + completionTokens;
  }
}
