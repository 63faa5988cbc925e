package org.cuminwell.shell.http;

import java.io.Serial;

/** Signals that the bytes that an endpoint sends are no acceptable response. */
public final class MalformedResponseException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace; the message says what is wrong with the bytes. */
  public MalformedResponseException(String message) {
    super(message, null, false, false);
  }
}
