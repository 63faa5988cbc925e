package org.cuminwell.core.gateway;

import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Usage;

/** Says how one attempt at an endpoint ended. Immutable and thread safe. */
public sealed interface AttemptOutcome {

  /** The whole answer has come. */
  record Completed(Usage usage) implements AttemptOutcome {}

  /**
   * No whole answer came.
   *
   * @param usage what is known to have been used all the same
   */
  record Failed(Failure failure, Usage usage) implements AttemptOutcome {}

  /** The caller went away before the end. */
  record CallerDisconnected(Usage usage) implements AttemptOutcome {}
}
