package org.cuminwell.core.overload;

import java.time.Duration;

/** Says whether a request goes on to be handled. Immutable and thread safe. */
public sealed interface HeadDecision {

  /** Handles the request. */
  record Admitted() implements HeadDecision {}

  /**
   * Refuses the request, which has not run.
   *
   * @param retryAfter how long the caller should wait before it retries
   */
  record Refused(Duration retryAfter) implements HeadDecision {}
}
