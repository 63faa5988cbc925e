package org.cuminwell.core.control;

import org.cuminwell.core.model.Failure;

/** Is what became of a submitted command. Immutable and thread safe. */
public sealed interface CommandOutcome {

  /** The command is committed for good, with this result. */
  record Done(Applied result) implements CommandOutcome {}

  /**
   * The command has no result. The failure's verdict says "not run" only if the command has
   * certainly got no place in the log; otherwise it may still be committed.
   */
  record Failed(Failure failure) implements CommandOutcome {}
}
