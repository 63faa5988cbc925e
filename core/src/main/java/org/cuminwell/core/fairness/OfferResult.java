package org.cuminwell.core.fairness;

import java.time.Duration;

/** Says whether a request may wait. Immutable and thread safe. */
public sealed interface OfferResult {

  /** The request waits. */
  record Queued() implements OfferResult {}

  /** There is no room, or the wait would outlast the deadline. */
  record Refused(Duration retryAfter) implements OfferResult {}
}
