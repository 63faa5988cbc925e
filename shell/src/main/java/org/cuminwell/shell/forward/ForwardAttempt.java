package org.cuminwell.shell.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.CallFailure;
import org.cuminwell.shell.exchange.ClientCall;
import org.cuminwell.shell.exchange.ResponseReceiver;
import org.cuminwell.shell.exchange.ResponseStart;
import org.jspecify.annotations.Nullable;

/**
 * Tracks one attempt, which has a connection to itself while it runs, and reports its progress as
 * events.
 *
 * <p>What arrives before the response is passed on is kept; reading stops while much is.
 * Invariants: the response head and the end are each reported at most once; nothing is reported
 * after the end or after {@link #cancel}. Confined to the event loop of the exchanges.
 */
final class ForwardAttempt implements ResponseReceiver {

  /** The bytes that are kept of a response that is not passed on yet before reading stops. */
  private static final int MAX_KEPT_BYTES = 64 * 1024;

  private enum State {
    WAITING,
    HEAD_RECEIVED,
    ENDED
  }

  private final ForwardAction.Send sendAction;
  private final Consumer<ForwardEvent> events;
  private final ClientCall call;
  private final ForwardDialect dialect;
  private final ForwardRequest request;
  private final Runnable onHeadOrFailure;
  private final Deque<byte[]> keptParts = new ArrayDeque<>();
  private int keptBytes;
  private boolean endReceived;
  private @Nullable CallFailure failure;
  private State state = State.WAITING;
  private @Nullable ResponseStart response;
  private @Nullable CallerResponse passedTo;

  /**
   * Creates an attempt that has not been sent.
   *
   * @param dialect parses the endpoint's response head
   * @param request the caller's request
   * @param onHeadOrFailure runs when the first byte is not awaited any more
   */
  ForwardAttempt(
      ForwardAction.Send sendAction,
      ClientCall call,
      Consumer<ForwardEvent> events,
      ForwardDialect dialect,
      ForwardRequest request,
      Runnable onHeadOrFailure) {
    this.sendAction = sendAction;
    this.call = call;
    this.events = events;
    this.dialect = dialect;
    this.request = request;
    this.onHeadOrFailure = onHeadOrFailure;
  }

  ForwardAction.Send sendAction() {
    return sendAction;
  }

  ClientCall call() {
    return call;
  }

  /**
   * Returns the response head.
   *
   * @throws IllegalStateException if it has not been received yet
   */
  ResponseStart response() {
    if (response == null) {
      throw new IllegalStateException(
          "no response head has been received for request " + sendAction.id());
    }
    return response;
  }

  @Override
  public void onHead(ResponseStart head) {
    onHeadOrFailure.run();
    if (state != State.WAITING) {
      close();
      return;
    }
    if (dialect.saysLeaving(head) || RelayHeaders.saysLeaving(head)) {
      events.accept(new ForwardEvent.EndpointLeaving(sendAction.id(), sendAction.attempt()));
    }
    Optional<Failure> relayFailure =
        sendAction.relay().flatMap(_ -> RelayHeaders.findFailure(head));
    if (relayFailure.isPresent()) {
      endIfWaiting(AttemptFailures.atRelay(relayFailure.get()));
      return;
    }
    response = head;
    state = State.HEAD_RECEIVED;
    events.accept(
        new ForwardEvent.ResponseHeadReceived(
            sendAction.id(), sendAction.attempt(), dialect.parseResponseHead(head, request)));
  }

  @Override
  public void onPart(byte[] part) {
    if (state != State.HEAD_RECEIVED) {
      return;
    }
    if (passedTo != null) {
      passedTo.onPart(part);
      return;
    }
    keptParts.add(part);
    keptBytes += part.length;
    if (keptBytes > MAX_KEPT_BYTES) {
      call.setReading(false);
    }
  }

  @Override
  public void onEnd() {
    endReceived = true;
    if (passedTo != null && state == State.HEAD_RECEIVED) {
      passedTo.onEnd();
    }
  }

  @Override
  public void onFailure(CallFailure why) {
    onHeadOrFailure.run();
    if (state == State.WAITING) {
      endIfWaiting(AttemptFailures.beforeResponse(why));
    } else if (passedTo != null && state == State.HEAD_RECEIVED) {
      passedTo.onFailure(AttemptFailures.inBody(why));
    } else {
      failure = why;
    }
  }

  /** Passes the body on to the caller's response: what has arrived now, and the rest as it does. */
  void passTo(CallerResponse callerResponse) {
    passedTo = callerResponse;
    while (state == State.HEAD_RECEIVED && !keptParts.isEmpty()) {
      callerResponse.onPart(keptParts.remove());
    }
    keptParts.clear();
    if (state != State.HEAD_RECEIVED) {
      return;
    }
    if (failure != null) {
      callerResponse.onFailure(AttemptFailures.inBody(failure));
    } else if (endReceived) {
      callerResponse.onEnd();
    } else {
      call.setReading(callerResponse.isWritable());
    }
  }

  /** Reports that the endpoint has been silent, unless the attempt has ended. */
  void reportSilence() {
    if (state != State.ENDED) {
      events.accept(new ForwardEvent.EndpointSilent(sendAction.id(), sendAction.attempt()));
    }
  }

  /** Returns whether neither the response head nor the end has been reported. */
  boolean isWaiting() {
    return state == State.WAITING;
  }

  /** Ends the attempt and closes its connection, unless the response head was received. */
  void endIfWaiting(ForwardAttemptOutcome outcome) {
    if (state == State.WAITING) {
      state = State.ENDED;
      report(outcome);
      close();
    }
  }

  /**
   * Reports the outcome of the attempt and closes its connection, or releases it after a whole
   * response; does nothing if the attempt has ended.
   */
  void end(ForwardAttemptOutcome outcome) {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    report(outcome);
    switch (outcome) {
      case ForwardAttemptOutcome.Completed o -> call.release();
      case ForwardAttemptOutcome.Failed o -> close();
      case ForwardAttemptOutcome.NotConnected o -> close();
      case ForwardAttemptOutcome.ConnectionLost o -> close();
      case ForwardAttemptOutcome.CallerDisconnected o -> close();
    }
  }

  /**
   * Closes the connection without a report, since whoever cancels the attempt knows that it has
   * ended.
   */
  void cancel() {
    state = State.ENDED;
    onHeadOrFailure.run();
    close();
  }

  private void close() {
    call.abort();
  }

  private void report(ForwardAttemptOutcome outcome) {
    events.accept(new ForwardEvent.AttemptEnded(sendAction.id(), sendAction.attempt(), outcome));
  }
}
