package org.cuminwell.core.gateway;

import java.util.Optional;
import org.cuminwell.core.idempotency.IdempotentCall;
import org.cuminwell.core.model.RequestId;

/**
 * Holds the properties of a request body that decisions depend on; the bytes stay with the front
 * end.
 */
public sealed interface CallBody {

  /** Returns the id of the request that the body belongs to. */
  RequestId id();

  /**
   * Holds the properties of the body of a completion request.
   *
   * @param promptTokens the estimated length of the prompt, in tokens
   * @param maxCompletionTokens the maximum length of the completion, in tokens
   * @param prefixHash a hash of the model and the first part of the prompt, used to find an
   *     endpoint with a warm prompt cache
   */
  record Completion(
      RequestId id,
      String model,
      boolean stream,
      long promptTokens,
      long maxCompletionTokens,
      long prefixHash)
      implements CallBody {}

  /**
   * Holds the properties of the body of a plain call.
   *
   * @param bytes the length of the body, in bytes
   * @param idempotentCall the caller's Idempotency-Key and the fingerprint of the call; empty if
   *     the caller sent no key
   */
  record Plain(RequestId id, long bytes, Optional<IdempotentCall> idempotentCall)
      implements CallBody {

    /** Holds the properties of a call without an Idempotency-Key. */
    public Plain(RequestId id, long bytes) {
      this(id, bytes, Optional.empty());
    }
  }
}
