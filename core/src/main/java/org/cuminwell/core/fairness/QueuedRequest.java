package org.cuminwell.core.fairness;

import java.time.Instant;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RequestId;

/**
 * Describes a request that waits to start. Immutable and thread safe.
 *
 * <p>Invariant: the cost is positive.
 *
 * @param costTokens the tokens that the request is expected to use
 * @param deadline when the request must have started; it is removed from the queue then
 */
public record QueuedRequest(RequestId id, CustomerId customer, long costTokens, Instant deadline) {

  /**
   * Checks the cost.
   *
   * @throws IllegalArgumentException if it is not positive
   */
  public QueuedRequest {
    if (costTokens <= 0) {
      throw new IllegalArgumentException("cost must be at least 1 token; found " + costTokens);
    }
  }
}
