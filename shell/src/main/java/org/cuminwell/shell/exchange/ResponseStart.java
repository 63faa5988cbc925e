package org.cuminwell.shell.exchange;

import java.util.OptionalLong;

/**
 * Holds the head of a response whose body follows in parts. Immutable and thread safe.
 *
 * @param headers the headers without those that frame the body
 * @param length the length of the body in bytes, if it is known ahead
 */
public record ResponseStart(int status, HeaderList headers, OptionalLong length) {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECTION = 300;

  /** Returns whether the status reports success. */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
  }

  /** Returns the same head with another status. */
  public ResponseStart withStatus(int other) {
    return new ResponseStart(other, headers, length);
  }

  /** Returns the same head with other headers. */
  public ResponseStart withHeaders(HeaderList other) {
    return new ResponseStart(status, other, length);
  }
}
