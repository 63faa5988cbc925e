package org.cuminwell.shell.forward;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.shell.http.BodyReader;
import org.cuminwell.shell.http.ClientConnections;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.cuminwell.shell.http.HttpResponses;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Front end for callers whose requests are forwarded: turns their requests into {@link
 * ForwardEvent}s and performs the resulting {@link ForwardAction}s.
 *
 * <p>Invariant: a new request is refused as busy while {@link #MAX_OPEN_REQUESTS} requests are
 * open. Thread safe.
 */
public final class ForwardFront {

  /** The maximum number of requests that a gateway forwards at the same time. */
  static final int MAX_OPEN_REQUESTS = 4_096;

  /** Ends the exchange of a caller that has disconnected; nobody reads it. */
  private static final HttpResponse UNREAD_RESPONSE =
      HttpResponse.create().withStatus(StatusCodes.INTERNAL_SERVER_ERROR);

  private final HttpSystem http;
  private final InstantSource time;
  private final ForwardDialect dialect;
  private final Predicate<ForwardEvent> offer;
  private final Consumer<ForwardEvent> force;
  private final ForwardClient client;
  private final ForwardLog log = new ForwardLog();
  private final Map<RequestId, PendingForward> openRequests = new ConcurrentHashMap<>();
  private volatile boolean connectionReuseDisabled;

  /**
   * Creates a front end that delivers its events to the given consumers.
   *
   * @param offer receives the event of a new request; returns false if it has no capacity for it
   * @param force receives events of requests that were accepted before; must accept all of them
   */
  public ForwardFront(
      HttpSystem http,
      InstantSource time,
      ClientConnections connections,
      ForwardDialect dialect,
      Predicate<ForwardEvent> offer,
      Consumer<ForwardEvent> force) {
    this.http = http;
    this.time = time;
    this.dialect = dialect;
    this.offer = offer;
    this.force = force;
    this.client = new ForwardClient(http, time, connections, dialect, force);
  }

  /** Returns the handler for a new connection of a caller. */
  public HttpConnectionHandler newConnection() {
    return new ForwardConnection(this);
  }

  /** Adds {@code Connection: close} to every response from now on. */
  public void disableConnectionReuse() {
    connectionReuseDisabled = true;
  }

  /** Performs an action; one for a request that is no longer open has no effect. */
  public void perform(ForwardAction action) {
    switch (action) {
      case ForwardAction.Send a -> ifOpen(a.id(), call -> client.send(call, a));
      case ForwardAction.PassResponse a -> ifOpen(a.id(), client::passResponse);
      case ForwardAction.CancelAttempt a ->
          ifOpen(a.id(), call -> call.latestAttempt().ifPresent(ForwardAttempt::cancel));
      case ForwardAction.Refuse a ->
          ifOpen(
              a.id(),
              call -> {
                call.response()
                    .complete(dialect.failureResponse(Optional.of(call.head()), a.failure()));
                openRequests.remove(a.id());
              });
      case ForwardAction.AbortResponse a ->
          ifOpen(
              a.id(),
              call -> {
                call.response()
                    .complete(dialect.failureResponse(Optional.of(call.head()), a.failure()));
                call.abort();
              });
      case ForwardAction.Log a -> log.write(a);
      case ForwardAction.Ended a -> openRequests.remove(a.id());
    }
  }

  /** Handles one request of a connection; the returned stage never fails. */
  CompletionStage<HttpResponse> handle(HttpRequest request, ForwardConnection connection) {
    Instant arrivedAt = time.instant();
    RequestId id = new RequestId(UUID.randomUUID().toString());
    ForwardRequest head;
    try {
      head = dialect.parseRequest(id, request, arrivedAt);
    } catch (IllegalArgumentException e) {
      BodyReader.leaveUnread(request, http.actorSystem());
      return CompletableFuture.completedFuture(
          withConnectionClose(
              notRunResponse(
                  Optional.empty(), ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage()))));
    }
    return BodyReader.read(request, http.actorSystem())
        .thenCompose(body -> open(head, request, body, connection))
        .exceptionally(
            error ->
                withConnectionClose(
                    dialect.failureResponse(Optional.of(head), BodyReader.failureOf(error))))
        .thenApply(response -> connectionReuseDisabled ? withConnectionClose(response) : response);
  }

  /**
   * Reports that the caller of a request has disconnected, if the request is still open, and
   * responds to it, since the connection stays open until there is a response.
   */
  void onCallerDisconnected(PendingForward call) {
    RequestId id = call.head().id();
    if (openRequests.containsKey(id)) {
      force.accept(new ForwardEvent.CallerDisconnected(id));
      call.response().complete(UNREAD_RESPONSE);
    }
  }

  /** Returns whether the request has been opened and has not ended yet. */
  boolean isOpen(PendingForward call) {
    return openRequests.containsKey(call.head().id());
  }

  /** Opens a request whose body has been read, unless the caller disconnected or it is busy. */
  private CompletionStage<HttpResponse> open(
      ForwardRequest head, HttpRequest request, ByteString body, ForwardConnection connection) {
    if (connection.isDisconnected()) {
      return CompletableFuture.completedFuture(
          notRunResponse(Optional.of(head), ErrorCode.CALL_DROPPED, "the caller disconnected"));
    }
    PendingForward call = new PendingForward(head, request, body);
    if (openRequests.size() >= MAX_OPEN_REQUESTS) {
      return CompletableFuture.completedFuture(busyResponse(head));
    }
    openRequests.put(head.id(), call);
    if (!offer.test(new ForwardEvent.RequestReceived(head, ContentHash.of(request, body)))) {
      openRequests.remove(head.id());
      return CompletableFuture.completedFuture(busyResponse(head));
    }
    connection.onRequestOpened(call);
    return call.response();
  }

  private HttpResponse busyResponse(ForwardRequest head) {
    return notRunResponse(Optional.of(head), ErrorCode.BUSY, "this host is busy; try again");
  }

  /** Returns the response for a failure of a request that has not run. */
  private HttpResponse notRunResponse(
      Optional<ForwardRequest> head, ErrorCode code, String message) {
    return dialect.failureResponse(head, Failure.notRun(code, message));
  }

  /** Runs the task with the request if it is still open. */
  private void ifOpen(RequestId id, Consumer<PendingForward> task) {
    PendingForward call = openRequests.get(id);
    if (call != null) {
      task.accept(call);
    }
  }

  /** Adds {@code Connection: close} unless the response has a {@code Connection} header. */
  private static HttpResponse withConnectionClose(HttpResponse response) {
    return response.getHeader("Connection").isEmpty()
        ? response.addHeader(HttpResponses.CONNECTION_CLOSE)
        : response;
  }
}
