package org.cuminwell.shell.forward;

import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.http.BadAnswerException;

/** Says what an answer that has begun failed of. Stateless and thread safe. */
final class AnswerFailures {

  private AnswerFailures() {}

  /** Returns the failure of an answer whose bytes ended with {@code error}. */
  static Failure of(Throwable error) {
    return switch (error) {
      case OverlongAnswerException e ->
          Failure.ran(ErrorCode.ANSWER_TOO_LONG, String.valueOf(e.getMessage()));
      case BadAnswerException e ->
          Failure.ran(ErrorCode.INCOMPLETE_ANSWER, String.valueOf(e.getMessage()));
      default -> Failure.ran(ErrorCode.INCOMPLETE_ANSWER, "the answer broke off");
    };
  }
}
