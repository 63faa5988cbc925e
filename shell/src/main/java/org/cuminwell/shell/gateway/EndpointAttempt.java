package org.cuminwell.shell.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Source;
import org.cuminwell.core.gateway.AttemptEnd;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Usage;

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
  private final SharedKillSwitch connection = KillSwitches.shared("attempt");
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

  /** Returns the switch that closes the connection. */
  SharedKillSwitch connection() {
    return connection;
  }

  /**
   * Returns a source without requests that ends with the attempt.
   *
   * <p>While it is open the sending side of the connection is, and only an open side can be
   * aborted.
   */
  Source<HttpRequest, ?> open() {
    return Source.<HttpRequest>maybe();
  }

  /** Reports that the answer is about to go to the caller, and returns whether it may. */
  boolean tryAnswer() {
    if (!state.compareAndSet(State.WAITING, State.ANSWERING)) {
      return false;
    }
    events.accept(new GatewayEvent.AnswerBegan(order.id(), order.attempt()));
    return true;
  }

  /** Reports the end, unless one was reported before. */
  void ended(AttemptEnd end) {
    if (state.getAndSet(State.ENDED) != State.ENDED) {
      report(end);
    }
  }

  /** Gives the attempt up, unless its answer has begun. */
  void giveUp(AttemptEnd end) {
    if (state.compareAndSet(State.WAITING, State.ENDED)) {
      report(end);
      closeConnection();
    }
  }

  /** Gives the attempt up because the caller has gone; a begun answer notices by itself. */
  void callerLeft() {
    giveUp(new AttemptEnd.CallerLeft(Usage.NONE));
  }

  /** Closes the connection at once, so that the endpoint stops working for it. */
  void closeConnection() {
    connection.abort(new AttemptOverException());
  }

  private void report(AttemptEnd end) {
    events.accept(new GatewayEvent.AttemptEnded(order.id(), order.attempt(), end));
  }
}
