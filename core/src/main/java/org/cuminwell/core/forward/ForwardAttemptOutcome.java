package org.cuminwell.core.forward;

import org.cuminwell.core.model.Failure;

/** Says how an attempt to forward a request ended. Immutable and thread safe. */
public sealed interface ForwardAttemptOutcome {

  /** Reports that the complete response was passed to the caller. */
  record Completed() implements ForwardAttemptOutcome {}

  /** Reports that there was no complete response. */
  record Failed(Failure failure) implements ForwardAttemptOutcome {}

  /** Reports that no connection to the endpoint, or to the gateway that relays, was established. */
  record NotConnected(Failure failure) implements ForwardAttemptOutcome {}

  /** Reports that the endpoint's connection ended after the request was sent, too early. */
  record ConnectionLost(Failure failure) implements ForwardAttemptOutcome {}

  /** Reports that the caller disconnected. */
  record CallerDisconnected() implements ForwardAttemptOutcome {}
}
