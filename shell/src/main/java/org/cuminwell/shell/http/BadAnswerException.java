package org.cuminwell.shell.http;

import java.io.Serial;

/** Tells that what an endpoint sends can't become an answer, and why. */
public final class BadAnswerException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  /** Makes an exception whose message says what came. */
  public BadAnswerException(String message) {
    super(message, null, false, false);
  }
}
