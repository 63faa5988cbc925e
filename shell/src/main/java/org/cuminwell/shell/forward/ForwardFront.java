package org.cuminwell.shell.forward;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.exchange.ResponseWriter;

/**
 * Front end for callers whose requests are forwarded: turns their requests into {@link
 * ForwardEvent}s and performs the resulting {@link ForwardAction}s.
 *
 * <p>Invariant: a new request is refused as busy while {@link #MAX_OPEN_REQUESTS} requests are
 * open. {@link #newConnection} and {@link #perform} are thread safe; all else is confined to the
 * event loop of the exchanges.
 */
public final class ForwardFront {

  /** The maximum number of requests that a gateway forwards at the same time. */
  static final int MAX_OPEN_REQUESTS = 4_096;

  private final EventLoop loop;
  private final InstantSource time;
  private final ForwardDialect dialect;
  private final Predicate<ForwardEvent> offer;
  private final Consumer<ForwardEvent> force;
  private final ForwardClient client;
  private final Optional<HeadGuard> guard;
  private final ForwardLog log = new ForwardLog();
  private final Map<RequestId, OpenForward> openRequests = new HashMap<>();

  /** Holds an open request and its response. Immutable. */
  private record OpenForward(PendingForward call, CallerResponse response) {}

  /**
   * Creates a front end that delivers its events to the given consumers.
   *
   * @param offer receives the event of a new request; returns false if it has no capacity for it
   * @param force receives events of requests that were accepted before; must accept all of them
   */
  public ForwardFront(
      HttpEventLoops loops,
      InstantSource time,
      ClientConnections connections,
      ForwardDialect dialect,
      Predicate<ForwardEvent> offer,
      Consumer<ForwardEvent> force) {
    this(loops, time, connections, dialect, offer, force, Optional.empty());
  }

  /**
   * Creates a front end that delivers its events to the given consumers.
   *
   * @param offer receives the event of a new request; returns false if it has no capacity for it
   * @param force receives events of requests that were accepted before; must accept all of them
   * @param guard refuses requests on their heads; without it none is
   */
  public ForwardFront(
      HttpEventLoops loops,
      InstantSource time,
      ClientConnections connections,
      ForwardDialect dialect,
      Predicate<ForwardEvent> offer,
      Consumer<ForwardEvent> force,
      Optional<HeadGuard> guard) {
    this.guard = guard;
    this.loop = loops.exchangeLoop();
    this.time = time;
    this.dialect = dialect;
    this.offer = offer;
    this.force = force;
    this.client = new ForwardClient(loop, connections, dialect, force);
  }

  /** Returns the handler for a new connection of a caller. */
  public ExchangeHandler newConnection() {
    return new ForwardConnection(this);
  }

  /** Performs an action; one for a request that is no longer open has no effect. */
  public void perform(ForwardAction action) {
    if (action instanceof ForwardAction.Log line) {
      log.write(line);
    } else if (!loop.isShuttingDown()) {
      loop.execute(() -> performInLoop(action));
    }
  }

  /** Returns the response to a request that is refused on its head. */
  Optional<ResponseMessage> refusalOnHead(Supplier<RequestMessage> head) {
    return guard.flatMap(g -> g.refusal(head));
  }

  /**
   * Handles one request of a connection.
   *
   * @return the request if it is open now
   */
  Optional<PendingForward> handle(
      RequestMessage request, Instant headReceivedAt, ResponseWriter writer) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    ForwardRequest head;
    try {
      head = dialect.parseRequest(id, request, headReceivedAt);
    } catch (IllegalArgumentException e) {
      Failure malformed = Failure.notRun(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage()));
      writer.respond(
          failureResponse(Optional.empty(), malformed).withHeader("Connection", "close"));
      return Optional.empty();
    }
    return open(new PendingForward(head, request), writer);
  }

  /** Reports that the caller of a request has disconnected, if the request is still open. */
  void onCallerDisconnected(PendingForward call) {
    RequestId id = call.head().id();
    OpenForward open = openRequests.get(id);
    if (open != null) {
      open.response().onDisconnected();
      force.accept(new ForwardEvent.CallerDisconnected(id));
    }
  }

  /** Returns the response that reports the failure; {@code head} is empty if there is none. */
  ResponseMessage failureResponse(Optional<ForwardRequest> head, Failure failure) {
    return dialect.failureResponse(head, failure);
  }

  private Optional<PendingForward> open(PendingForward call, ResponseWriter writer) {
    ForwardRequest head = call.head();
    CallerResponse response = new CallerResponse(call, writer, loop, time, force);
    openRequests.put(head.id(), new OpenForward(call, response));
    boolean isTaken =
        openRequests.size() <= MAX_OPEN_REQUESTS
            && offer.test(new ForwardEvent.RequestReceived(head, ContentHash.of(call.request())));
    if (isTaken) {
      return Optional.of(call);
    }
    openRequests.remove(head.id());
    Failure busy = Failure.notRun(ErrorCode.BUSY, "this host is busy; try again");
    response.fail(failureResponse(Optional.of(head), busy));
    return Optional.empty();
  }

  private void performInLoop(ForwardAction action) {
    switch (action) {
      case ForwardAction.Send a -> ifOpen(a.id(), open -> client.send(open.call(), a));
      case ForwardAction.PassResponse a -> ifOpen(a.id(), open -> passResponse(open, a));
      case ForwardAction.CancelAttempt a ->
          ifOpen(a.id(), open -> open.call().latestAttempt().ifPresent(ForwardAttempt::cancel));
      case ForwardAction.Refuse a -> {
        ifOpen(a.id(), open -> fail(open, a.failure()));
        openRequests.remove(a.id());
      }
      case ForwardAction.AbortResponse a -> ifOpen(a.id(), open -> fail(open, a.failure()));
      case ForwardAction.Log a -> log.write(a);
      case ForwardAction.Ended a -> {
        openRequests.remove(a.id());
        guard.ifPresent(g -> g.recordEnded(a.callRecord()));
      }
    }
  }

  private void passResponse(OpenForward open, ForwardAction.PassResponse action) {
    open.call().latestAttempt().ifPresent(attempt -> pass(open, attempt, action.hidesRefusal()));
  }

  private void pass(OpenForward open, ForwardAttempt attempt, boolean hidesRefusal) {
    ResponseStart received = attempt.response();
    open.response().pass(attempt, hidesRefusal ? dialect.hideRefusal(received) : received);
  }

  /** Ends a request with a failure, or closes its connection if its response has started. */
  private void fail(OpenForward open, Failure failure) {
    open.response().fail(failureResponse(Optional.of(open.call().head()), failure));
    open.call().abort();
  }

  /** Runs the task with the request if it is still open. */
  private void ifOpen(RequestId id, Consumer<OpenForward> task) {
    OpenForward open = openRequests.get(id);
    if (open != null) {
      task.accept(open);
    }
  }
}
