package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.RequestId;

/** Is a request that a customer's limit is charged for. Confined to its owner's thread. */
public interface ChargedCall {

  /** Returns the id of the request. */
  RequestId id();

  /** Returns the customer that it runs for. */
  Customer customer();

  /** Returns the tokens that are charged at admission. */
  long estimatedTokens();

  /** Returns how long it may wait for a share of the limit. */
  default Duration maxShareWait() {
    return ShareWaitQueue.MAX_WAIT;
  }

  /** Returns the time at which it must have ended. */
  Instant deadline();
}
