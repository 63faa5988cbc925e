package org.cuminwell.core.gateway;

import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Usage;

/** Describes how one attempt at an endpoint ended. Immutable and thread safe. */
public sealed interface AttemptOutcome {

  /** Reports that the complete response arrived. */
  record Completed(Usage usage) implements AttemptOutcome {}

  /**
   * Reports that no complete response arrived.
   *
   * @param usage the tokens that are known to have been used nevertheless
   */
  record Failed(Failure failure, Usage usage) implements AttemptOutcome {}

  /** Reports that the caller disconnected before the end of the response. */
  record CallerDisconnected(Usage usage) implements AttemptOutcome {}
}
