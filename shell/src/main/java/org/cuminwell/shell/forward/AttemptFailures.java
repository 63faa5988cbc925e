package org.cuminwell.shell.forward;

import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardAttemptOutcome.ConnectionLost;
import org.cuminwell.core.forward.ForwardAttemptOutcome.Failed;
import org.cuminwell.core.forward.ForwardAttemptOutcome.NotConnected;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.exchange.CallFailure;

/** Maps the failures of an attempt to its outcome. Stateless and thread safe. */
final class AttemptFailures {

  private AttemptFailures() {}

  /** Returns the failure of a call that got no response head. */
  static Failure beforeHead(CallFailure failure) {
    return switch (failure) {
      case CallFailure.NotConnected f ->
          Failure.notRun(
              ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint could not be established");
      case CallFailure.Malformed f -> Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, f.message());
      case CallFailure.Broken f -> connectionFailed();
      case CallFailure.BrokenDuringUpload f -> connectionFailed();
    };
  }

  /** Returns the outcome of an attempt that got no response head. */
  static ForwardAttemptOutcome beforeResponse(CallFailure failure) {
    Failure reported = beforeHead(failure);
    return switch (failure) {
      case CallFailure.NotConnected f -> new NotConnected(reported);
      case CallFailure.Malformed f -> new Failed(reported);
      case CallFailure.Broken f -> lostIfRun(reported);
      case CallFailure.BrokenDuringUpload f -> lostIfRun(reported);
    };
  }

  /** Returns the outcome of an attempt for which the relaying gateway reports a failure. */
  static ForwardAttemptOutcome atRelay(Failure failure) {
    return lostIfRun(failure);
  }

  /** Returns the outcome of an attempt whose response body was not received whole. */
  static ForwardAttemptOutcome inBody(CallFailure failure) {
    return switch (failure) {
      case CallFailure.Malformed f -> new Failed(incomplete(f.message()));
      case CallFailure.NotConnected f -> brokenOff();
      case CallFailure.Broken f -> brokenOff();
      case CallFailure.BrokenDuringUpload f ->
          new ConnectionLost(
              Failure.mayHaveRun(
                  ErrorCode.INCOMPLETE_ANSWER,
                  "the response from the endpoint broke off before the request was sent whole"));
    };
  }

  /** Returns the outcome of an attempt whose response body ended too early. */
  static ForwardAttemptOutcome brokenOff() {
    return new ConnectionLost(incomplete("the response from the endpoint broke off"));
  }

  /** Returns the outcome of an attempt whose response body is no event stream. */
  static ForwardAttemptOutcome noEventStream(String why) {
    return new Failed(incomplete(why));
  }

  /** Returns the outcome of an attempt whose response has more events than it may have. */
  static ForwardAttemptOutcome tooManyEvents() {
    return new Failed(
        Failure.ran(
            ErrorCode.ANSWER_TOO_LONG,
            "the endpoint sent more events than the request declared tokens"));
  }

  /** A request that has certainly not run was never on a connection to the endpoint. */
  private static ForwardAttemptOutcome lostIfRun(Failure failure) {
    return failure.verdict() instanceof Verdict.NotRun
        ? new Failed(failure)
        : new ConnectionLost(failure);
  }

  private static Failure connectionFailed() {
    return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint failed");
  }

  private static Failure incomplete(String message) {
    return Failure.ran(ErrorCode.INCOMPLETE_ANSWER, message);
  }
}
