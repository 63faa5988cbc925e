package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Represents an action that a gateway must perform for its claims. Immutable and thread safe. */
public sealed interface ClaimAction {

  /** Sends a message to a control host. */
  record Send(HostId control, IdempotencyMessage message) implements ClaimAction {}

  /** Sends the call, since its key is now granted. */
  record Proceed(RequestId request) implements ClaimAction {}

  /** Answers the request with the stored response to the call under its key. */
  record Replay(RequestId request, CallOutcome.Answered answer) implements ClaimAction {}

  /** Answers the request with a failure. Its call was not sent. */
  record Refuse(RequestId request, Failure failure) implements ClaimAction {}
}
