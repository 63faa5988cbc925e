package org.cuminwell.shell.forward;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.KeptCall;
import org.jspecify.annotations.Nullable;

/**
 * Tracks one attempt, which has a connection to itself while it runs, and reports its progress as
 * events.
 *
 * <p>Invariants: the response head and the end are each reported at most once; nothing is reported
 * after the end or after {@link #cancel}. Thread safe.
 */
final class ForwardAttempt {

  private enum State {
    WAITING,
    HEAD_RECEIVED,
    ENDED
  }

  private final ForwardAction.Send sendAction;
  private final Consumer<ForwardEvent> events;
  private final KeptCall call;
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
  private volatile @Nullable HttpResponse response;

  ForwardAttempt(ForwardAction.Send sendAction, KeptCall call, Consumer<ForwardEvent> events) {
    this.sendAction = sendAction;
    this.call = call;
    this.events = events;
  }

  ForwardAction.Send sendAction() {
    return sendAction;
  }

  KeptCall call() {
    return call;
  }

  /**
   * Returns the response.
   *
   * @throws IllegalStateException if its head has not been received yet
   */
  HttpResponse response() {
    HttpResponse received = response;
    if (received == null) {
      throw new IllegalStateException(
          "no response head has been received for request " + sendAction.id());
    }
    return received;
  }

  /** Reports the response head; closes the connection instead if the attempt has ended. */
  void onResponseHead(HttpResponse response, ResponseHead head) {
    this.response = response;
    if (state.compareAndSet(State.WAITING, State.HEAD_RECEIVED)) {
      events.accept(
          new ForwardEvent.ResponseHeadReceived(sendAction.id(), sendAction.attempt(), head));
    } else {
      close();
    }
  }

  /** Ends the attempt and closes its connection, unless the response head was received. */
  void endIfWaiting(ForwardAttemptOutcome outcome) {
    if (state.compareAndSet(State.WAITING, State.ENDED)) {
      report(outcome);
      close();
    }
  }

  /**
   * Reports the outcome of the attempt and closes its connection, or releases it after a whole
   * response; does nothing if the attempt has ended.
   */
  void end(ForwardAttemptOutcome outcome) {
    if (state.getAndSet(State.ENDED) == State.ENDED) {
      return;
    }
    report(outcome);
    switch (outcome) {
      case ForwardAttemptOutcome.Completed o -> call.release();
      case ForwardAttemptOutcome.Failed o -> close();
      case ForwardAttemptOutcome.ConnectionLost o -> close();
      case ForwardAttemptOutcome.CallerDisconnected o -> close();
    }
  }

  /**
   * Closes the connection without a report, since whoever cancels the attempt knows that it has
   * ended.
   */
  void cancel() {
    state.set(State.ENDED);
    close();
  }

  private void close() {
    call.abort(new CallEndedException("the attempt has ended"));
  }

  private void report(ForwardAttemptOutcome outcome) {
    events.accept(new ForwardEvent.AttemptEnded(sendAction.id(), sendAction.attempt(), outcome));
  }
}
