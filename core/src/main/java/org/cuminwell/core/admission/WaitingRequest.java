package org.cuminwell.core.admission;

import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RequestPriority;

/**
 * Represents a request that waits for an engine. Confined to its owner's thread.
 *
 * <p>Invariant: the returned values do not change while the request waits.
 */
public interface WaitingRequest {

  /** Returns the id of the request. */
  RequestId id();

  /** Returns which engines the request may use. */
  EngineDemand demand();

  /** Returns the priority of the request. */
  RequestPriority priority();

  /** Returns the customer that the request runs for; empty if it runs without one. */
  Optional<CustomerId> customerId();

  /** Returns the number of tokens that the request is expected to take. */
  long estimatedTokens();

  /** Returns the time from which on the request can no longer start within its latency target. */
  Instant startBy();
}
