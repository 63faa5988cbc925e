package org.cuminwell.core.gateway;

import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Usage;

/** Says how one attempt at an endpoint ended. Immutable and thread safe. */
public sealed interface AttemptEnd {

  /** The whole answer has come. */
  record Completed(Usage usage) implements AttemptEnd {}

  /**
   * No whole answer came.
   *
   * @param used what is known to have been used all the same
   */
  record Failed(Failure failure, Usage used) implements AttemptEnd {}

  /** The caller went away before the end. */
  record CallerLeft(Usage used) implements AttemptEnd {}
}
