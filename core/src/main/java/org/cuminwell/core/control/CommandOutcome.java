package org.cuminwell.core.control;

import org.cuminwell.core.model.Failure;

/** Represents the outcome of a submitted command. Immutable and thread safe. */
public sealed interface CommandOutcome {

  /** Reports that the command is committed and was applied with this result. */
  record Committed(CommandResult result) implements CommandOutcome {}

  /**
   * Reports that the command has no result. The failure's verdict is "not run" only if the command
   * is certainly not in the log; otherwise it may still be committed.
   */
  record Failed(Failure failure) implements CommandOutcome {}
}
