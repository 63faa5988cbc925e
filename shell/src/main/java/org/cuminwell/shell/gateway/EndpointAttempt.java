package org.cuminwell.shell.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cuminwell.core.gateway.AttemptOutcome;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Usage;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.SingleCall;

/**
 * Follows one attempt over its own connection.
 *
 * <p>Invariant: the end is reported once. An attempt that has ended can't begin to answer, so a
 * late answer never meets the answer of a later attempt. Thread safe.
 */
final class EndpointAttempt {

  private enum State {
    WAITING,
    ANSWERING,
    ENDED
  }

  private final SendToEndpoint order;
  private final CompletableFuture<Failure> cut;
  private final Consumer<GatewayEvent> events;
  private final SingleCall connection = new SingleCall();
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

  EndpointAttempt(
      SendToEndpoint order, CompletableFuture<Failure> cut, Consumer<GatewayEvent> events) {
    this.order = order;
    this.cut = cut;
    this.events = events;
  }

  RequestId id() {
    return order.id();
  }

  SendToEndpoint order() {
    return order;
  }

  /** Returns the failure that the answer is cut with, once there is one. */
  CompletableFuture<Failure> cut() {
    return cut;
  }

  /** Returns what carries the request. */
  SingleCall connection() {
    return connection;
  }

  /** Reports that the answer is about to go to the caller, and returns whether it may. */
  boolean tryAnswer() {
    if (!state.compareAndSet(State.WAITING, State.ANSWERING)) {
      return false;
    }
    events.accept(new GatewayEvent.ResponseStarted(order.id(), order.attempt()));
    return true;
  }

  /** Reports the end, unless one was reported before. */
  void ended(AttemptOutcome end) {
    if (state.getAndSet(State.ENDED) != State.ENDED) {
      report(end);
    }
  }

  /** Gives the attempt up, unless its answer has begun. */
  void giveUp(AttemptOutcome end) {
    if (state.compareAndSet(State.WAITING, State.ENDED)) {
      report(end);
      closeConnection();
    }
  }

  /** Gives the attempt up because the caller has gone; a begun answer notices by itself. */
  void callerLeft() {
    giveUp(new AttemptOutcome.CallerDisconnected(Usage.NONE));
  }

  /** Closes the connection at once, so that the endpoint stops working for it. */
  void closeConnection() {
    connection.abort(new CallEndedException("the attempt is over"));
  }

  private void report(AttemptOutcome outcome) {
    events.accept(new GatewayEvent.AttemptEnded(order.id(), order.attempt(), outcome));
  }
}
