package org.cuminwell.shell.journal;

import java.io.Serial;

/** Tells that the journal can't be read or written, and what the operator can do. */
public final class JournalException extends IllegalStateException {

  @Serial private static final long serialVersionUID = 1L;

  /** Makes an exception that says what was wrong. */
  public JournalException(String message) {
    super(message);
  }

  /** Makes an exception that says what was wrong and why. */
  public JournalException(String message, Throwable cause) {
    super(message, cause);
  }
}
