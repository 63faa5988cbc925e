package org.cuminwell.core.fairness;

import java.time.Duration;

/** Says whether a request was queued. Immutable and thread safe. */
public sealed interface OfferResult {

  /** The request was queued. */
  record Queued() implements OfferResult {}

  /**
   * The queue is full, or the request would wait beyond its deadline.
   *
   * @param retryAfter how long to wait before a retry
   */
  record Refused(Duration retryAfter) implements OfferResult {}
}
