package org.cuminwell.shell.http;

/**
 * Aborts the connection of a call that has ended or was cancelled, or a stream that ended early.
 * Immutable and thread safe.
 */
public final class CallEndedException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates an exception without a stack trace, since it reports no fault of this process. */
  public CallEndedException(String message) {
    super(message, null, false, false);
  }
}
