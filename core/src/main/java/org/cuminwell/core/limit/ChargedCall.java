package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.RequestId;

/**
 * Represents a request that is charged to a customer's token limit. Confined to its owner's thread.
 */
public interface ChargedCall {

  /** Returns the id of the request. */
  RequestId id();

  /** Returns the customer that the request runs for. */
  Customer customer();

  /** Returns the number of tokens that are charged at admission. */
  long estimatedTokens();

  /** Returns how long the request may wait for a share of the limit. */
  default Duration maxShareWait() {
    return ShareWaitQueue.MAX_WAIT;
  }

  /** Returns the time by which the request must have ended. */
  Instant deadline();
}
