package org.cuminwell.shell.forward;

import java.io.Serial;

/**
 * Signals that a stream holds more events than the request's declared tokens allow. Such a stream
 * is not resumed.
 */
final class OverlongResponseException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace, since the fault is the endpoint's. */
  OverlongResponseException() {
    super(
        "the endpoint sent more events than the request's token count allows", null, false, false);
  }
}
