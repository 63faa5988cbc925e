package org.cuminwell.core.forward;

import org.cuminwell.core.model.Failure;

/** Says how an attempt to forward a request ended. Immutable and thread safe. */
public sealed interface ForwardAttemptOutcome {

  /** The complete response was passed to the caller. */
  record Completed() implements ForwardAttemptOutcome {}

  /** There was no complete response. */
  record Failed(Failure failure) implements ForwardAttemptOutcome {}

  /** The caller disconnected. */
  record CallerDisconnected() implements ForwardAttemptOutcome {}
}
