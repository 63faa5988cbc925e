package org.cuminwell.core.forward;

import org.cuminwell.core.model.Failure;

/** Says how an attempt to forward a request ended. Immutable and thread safe. */
public sealed interface ForwardEnd {

  /** The whole answer has gone to the caller. */
  record Completed() implements ForwardEnd {}

  /** No whole answer came. */
  record Broken(Failure failure) implements ForwardEnd {}

  /** The caller went away. */
  record CallerLeft() implements ForwardEnd {}
}
