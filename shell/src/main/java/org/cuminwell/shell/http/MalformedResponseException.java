package org.cuminwell.shell.http;

import java.io.Serial;

/** Tells that what an endpoint sends can't become an answer, and why. */
public final class MalformedResponseException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  /** Makes an exception whose message says what came. */
  public MalformedResponseException(String message) {
    super(message, null, false, false);
  }
}
