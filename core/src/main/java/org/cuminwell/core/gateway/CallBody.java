package org.cuminwell.core.gateway;

import java.util.Optional;
import org.cuminwell.core.idempotency.IdempotentCall;
import org.cuminwell.core.model.RequestId;

/** Holds what decisions need of a request's body; the bytes stay with the front end. */
public sealed interface CallBody {

  /** Returns the request that the body belongs to. */
  RequestId id();

  /**
   * Holds the parts of a completion.
   *
   * @param promptTokens the estimated length of the prompt, in tokens
   * @param maxCompletionTokens the most that the answer may take, in tokens
   * @param prefixHash a hash of the model and the first part of the prompt, to find warm caches by
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
   * Holds the parts of a plain call.
   *
   * @param bytes the length of the body, in bytes
   * @param idempotentCall the caller's Idempotency-Key with what it stands for, if there is one
   */
  record Plain(RequestId id, long bytes, Optional<IdempotentCall> idempotentCall)
      implements CallBody {

    /** Holds the parts of a call without an Idempotency-Key. */
    public Plain(RequestId id, long bytes) {
      this(id, bytes, Optional.empty());
    }
  }
}
