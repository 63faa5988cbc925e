package org.cuminwell.shell.gateway;

/**
 * Cancels the connection of an attempt that is over; a cancellation without a failure would leave
 * it open for the endpoint to close. Immutable and thread safe.
 */
final class AttemptOverException extends Exception {

  private static final long serialVersionUID = 1L;

  AttemptOverException() {
    super("the attempt is over", null, false, false);
  }
}
