package org.cuminwell.shell.http;

/** Closes the connection of a call that is over. Immutable and thread safe. */
public final class CallEndedException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Makes an exception without a stack trace, since it is no fault. */
  public CallEndedException(String message) {
    super(message, null, false, false);
  }
}
