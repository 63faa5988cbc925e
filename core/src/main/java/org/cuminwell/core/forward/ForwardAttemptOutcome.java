package org.cuminwell.core.forward;

import org.cuminwell.core.model.Failure;

/** Says how an attempt to forward a request ended. Immutable and thread safe. */
public sealed interface ForwardAttemptOutcome {

  /** The whole answer has gone to the caller. */
  record Completed() implements ForwardAttemptOutcome {}

  /** No whole answer came. */
  record Failed(Failure failure) implements ForwardAttemptOutcome {}

  /** The caller went away. */
  record CallerDisconnected() implements ForwardAttemptOutcome {}
}
