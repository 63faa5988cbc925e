package org.cuminwell.app.check;

import java.io.Serial;

/** Tells in one line why a file or an answer can't be read. Immutable and thread safe. */
public final class UnreadableFileException extends Exception {

  @Serial private static final long serialVersionUID = 1L;

  /** Creates an exception with the line. */
  public UnreadableFileException(String message) {
    super(message);
  }
}
