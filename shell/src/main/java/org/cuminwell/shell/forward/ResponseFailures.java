package org.cuminwell.shell.forward;

import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.http.MalformedResponseException;

/** Maps errors in a response body to failures. Stateless and thread safe. */
final class ResponseFailures {

  private ResponseFailures() {}

  /** Returns the failure of a response whose body ended with {@code error}. */
  static Failure of(Throwable error) {
    return switch (error) {
      case OverlongResponseException e ->
          Failure.ran(ErrorCode.ANSWER_TOO_LONG, String.valueOf(e.getMessage()));
      case MalformedResponseException e ->
          Failure.ran(ErrorCode.INCOMPLETE_ANSWER, String.valueOf(e.getMessage()));
      default ->
          Failure.ran(ErrorCode.INCOMPLETE_ANSWER, "the response from the endpoint broke off");
    };
  }
}
