package org.cuminwell.core.limit;

import java.time.Duration;

/**
 * Represents the result of checking a request against its customer's token limit. Immutable and
 * thread safe.
 */
public sealed interface Admission {

  /** Reports that the request may run; its estimate was charged. */
  record Admitted() implements Admission {}

  /**
   * Reports that the customer's demand over all hosts exceeds its token rate.
   *
   * @param retryAfter how long until this host has the tokens, if the customer sends nothing else
   */
  record OverRate(Duration retryAfter) implements Admission {}

  /**
   * Reports that this host's share lacks the tokens, although the customer is within its rate as
   * far as this host knows.
   *
   * @param retryAfter how long to wait before the next try; by then the share may have grown
   */
  record ShareShort(Duration retryAfter) implements Admission {}

  /**
   * Reports that the estimate exceeds the customer's burst, so the request can never be admitted.
   */
  record TooLarge(long burstTokens) implements Admission {}
}
