package org.cuminwell.shell.journal;

import java.io.Serial;

/**
 * Thrown when the journal can't be read or written. The message says what the operator can do about
 * it.
 */
public final class JournalException extends IllegalStateException {

  @Serial private static final long serialVersionUID = 1L;

  /** Creates an exception with the given message. */
  public JournalException(String message) {
    super(message);
  }

  /** Creates an exception with the given message and cause. */
  public JournalException(String message, Throwable cause) {
    super(message, cause);
  }
}
