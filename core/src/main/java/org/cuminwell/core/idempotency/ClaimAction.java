package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Is something that a gateway must do for its claims. Immutable and thread safe. */
public sealed interface ClaimAction {

  /** Sends a message to a control host. */
  record Send(HostId control, IdempotencyMessage message) implements ClaimAction {}

  /** Sends the call, whose key is claimed now. */
  record Proceed(RequestId request) implements ClaimAction {}

  /** Answers the request with what the call under its key was answered. */
  record Replay(RequestId request, CallOutcome.Answered answer) implements ClaimAction {}

  /** Answers the request with a failure; its call was not sent. */
  record Refuse(RequestId request, Failure failure) implements ClaimAction {}
}
