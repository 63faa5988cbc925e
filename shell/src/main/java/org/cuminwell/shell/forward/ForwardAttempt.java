package org.cuminwell.shell.forward;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.SingleCall;
import org.jspecify.annotations.Nullable;

/**
 * Follows one attempt over its own connection.
 *
 * <p>Invariants: the headers of its answer are reported at most once and its end once; nothing is
 * reported after the end. Thread safe.
 */
final class ForwardAttempt {

  private enum State {
    WAITING,
    HEAD_RECEIVED,
    ENDED
  }

  private final ForwardAction.Send sendAction;
  private final Consumer<ForwardEvent> events;
  private final SingleCall connection = new SingleCall();
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
  private volatile @Nullable HttpResponse response;

  ForwardAttempt(ForwardAction.Send order, Consumer<ForwardEvent> events) {
    this.sendAction = order;
    this.events = events;
  }

  ForwardAction.Send sendAction() {
    return sendAction;
  }

  SingleCall connection() {
    return connection;
  }

  /** Returns the answer whose headers have come. */
  HttpResponse response() {
    HttpResponse come = response;
    if (come == null) {
      throw new IllegalStateException("no answer has come to request " + sendAction.id());
    }
    return come;
  }

  /** Reports the headers of the answer. */
  void onResponseHead(HttpResponse answer, ResponseHead head) {
    response = answer;
    if (state.compareAndSet(State.WAITING, State.HEAD_RECEIVED)) {
      events.accept(
          new ForwardEvent.ResponseHeadReceived(sendAction.id(), sendAction.attempt(), head));
    } else {
      close();
    }
  }

  /** Gives the attempt up unless the headers of its answer have come. */
  void failIfWaiting(Failure failure) {
    if (state.compareAndSet(State.WAITING, State.ENDED)) {
      report(new ForwardAttemptOutcome.Failed(failure));
      close();
    }
  }

  /**
   * Reports how the attempt ended, unless that is known, and closes its connection, since an
   * endpoint may go on sending after a whole answer.
   */
  void end(ForwardAttemptOutcome end) {
    if (state.getAndSet(State.ENDED) != State.ENDED) {
      report(end);
      close();
    }
  }

  /** Ends the attempt without a report, since it was decided on. */
  void cancel() {
    state.set(State.ENDED);
    close();
  }

  private void close() {
    connection.abort(new CallEndedException("the attempt is over"));
  }

  private void report(ForwardAttemptOutcome outcome) {
    events.accept(new ForwardEvent.AttemptEnded(sendAction.id(), sendAction.attempt(), outcome));
  }
}
