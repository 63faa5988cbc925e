package org.cuminwell.core.overload;

/** Lists the turns in which the requests of one customer are admitted, first to last. */
enum Turn {
  /** Retries of callers that were refused and can still be served within their targets. */
  RETRY,
  /** Requests that have not been refused before, as far as is known. */
  NEW,
  /** Retries that are later than their targets. */
  LATE_RETRY
}
