package org.cuminwell.wire;

import java.io.Serial;

/** Reports bytes that are not a valid message. Not thread safe, as exceptions are. */
public final class WireFormatException extends Exception {

  @Serial private static final long serialVersionUID = 1L;

  /** Makes an exception that says what was wrong. */
  public WireFormatException(String message) {
    super(message);
  }

  /** Makes an exception that says what was wrong and why. */
  public WireFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
