package org.cuminwell.shell.forward;

import java.util.concurrent.TimeoutException;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.http.MalformedResponseException;
import org.cuminwell.shell.http.SingleCall;

/** Maps the errors of an attempt to its outcome. Stateless and thread safe. */
final class AttemptFailures {

  private AttemptFailures() {}

  /** Returns the outcome of an attempt that got no response head because of {@code error}. */
  static ForwardAttemptOutcome beforeResponse(Throwable error) {
    Failure failure = SingleCall.failureOf(error);
    return SingleCall.isMalformedResponse(error)
        ? new ForwardAttemptOutcome.Failed(failure)
        : lostIfRun(failure);
  }

  /** Returns the outcome of an attempt for which the relaying gateway reports a failure. */
  static ForwardAttemptOutcome atRelay(Failure failure) {
    return lostIfRun(failure);
  }

  /** Returns the outcome of an attempt whose response body ended with {@code error}. */
  static ForwardAttemptOutcome inBody(Throwable error) {
    return switch (error) {
      case OverlongResponseException e ->
          new ForwardAttemptOutcome.Failed(
              Failure.ran(ErrorCode.ANSWER_TOO_LONG, String.valueOf(e.getMessage())));
      case MalformedResponseException e ->
          new ForwardAttemptOutcome.Failed(incomplete(String.valueOf(e.getMessage())));
      case TimeoutException e ->
          new ForwardAttemptOutcome.Failed(incomplete("the response from the endpoint stalled"));
      default ->
          new ForwardAttemptOutcome.ConnectionLost(
              incomplete("the response from the endpoint broke off"));
    };
  }

  /** A request that has certainly not run was never on a connection to the endpoint. */
  private static ForwardAttemptOutcome lostIfRun(Failure failure) {
    return failure.verdict() instanceof Verdict.NotRun
        ? new ForwardAttemptOutcome.Failed(failure)
        : new ForwardAttemptOutcome.ConnectionLost(failure);
  }

  private static Failure incomplete(String message) {
    return Failure.ran(ErrorCode.INCOMPLETE_ANSWER, message);
  }
}
