package org.cuminwell.shell.forward;

import java.io.Serial;

/** Tells that an answer holds more than was asked for, so that nothing can go on after it. */
final class OverlongResponseException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  /** Makes an exception without a stack trace, since it tells of the endpoint. */
  OverlongResponseException() {
    super("the endpoint sent more events than were asked for", null, false, false);
  }
}
