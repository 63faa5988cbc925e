package org.cuminwell.shell.forward;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.ObservedDepartures;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.exchange.CallFailure;
import org.cuminwell.shell.exchange.ClientCall;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.HeaderList;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseReceiver;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.jspecify.annotations.Nullable;

/**
 * Relays requests of gateways in other regions to endpoints of this region. The other gateway has
 * chosen the endpoint and names it in a header; nothing is decided here.
 *
 * <p>A relayed request is always sent to an endpoint, never to a further gateway. Requests without
 * the header are passed to the fallback handler. Invariant: after {@link #refuseNewRequests} new
 * requests fail as not run, and requests in progress continue; no request is sent to an endpoint
 * that has said in a response passed on from here that it leaves. Thread safe.
 */
public final class RelayFront {

  private static final Failure STOPPING =
      Failure.notRun(ErrorCode.STOPPING, "this gateway is stopping; use another gateway");

  private static final Failure MALFORMED =
      Failure.notRun(
          ErrorCode.BAD_REQUEST, "a header for the relay holds no valid address or endpoint");

  /** The idle timeout that is announced to other gateways; connections are kept longer. */
  private static final String KEEP_ALIVE = "timeout=60";

  private final ClientConnections connections;
  private final InstantSource time;
  private final BiConsumer<RequestMessage, ResponseWriter> fallback;
  private final Departures departures;
  private final ObservedDepartures observed = new ObservedDepartures();
  private boolean refusing;
  private int openRelays;

  /** Reads departures of endpoints from responses, and receives them. */
  public interface Departures {

    /** Finds none. */
    Departures NONE =
        new Departures() {
          @Override
          public boolean saysLeaving(ResponseStart response) {
            return false;
          }

          @Override
          public void onObserved(EndpointIncarnation endpoint) {}
        };

    /** Returns whether the endpoint that sent the response says that it leaves. */
    boolean saysLeaving(ResponseStart response);

    /** Receives an endpoint that was not known to leave. */
    void onObserved(EndpointIncarnation endpoint);
  }

  /** Creates a front end; {@code fallback} handles requests that are not to be relayed. */
  public RelayFront(
      ClientConnections connections,
      InstantSource time,
      BiConsumer<RequestMessage, ResponseWriter> fallback,
      Departures departures) {
    this.connections = connections;
    this.time = time;
    this.fallback = fallback;
    this.departures = departures;
  }

  /** Returns the handler for a new connection of another gateway. */
  public ExchangeHandler newConnection() {
    return new Connection();
  }

  /** Refuses all requests to relay from now on; those in progress continue. */
  public synchronized void refuseNewRequests() {
    refusing = true;
  }

  /**
   * Waits until every relayed response has ended or the time is up.
   *
   * @return the number of requests whose response has not ended
   */
  public synchronized int awaitIdle(Duration atMost) throws InterruptedException {
    long end = System.nanoTime() + atMost.toNanos();
    long remaining = atMost.toNanos();
    while (openRelays > 0 && remaining > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remaining);
      remaining = end - System.nanoTime();
    }
    return openRelays;
  }

  private void recordDeparture(EndpointIncarnation endpoint) {
    if (remember(endpoint)) {
      departures.onObserved(endpoint);
    }
  }

  /** Remembers that the endpoint leaves, and returns whether that was not known. */
  private synchronized boolean remember(EndpointIncarnation endpoint) {
    return observed.record(endpoint, time.instant());
  }

  private synchronized boolean isLeaving(EndpointIncarnation endpoint) {
    return observed.contains(endpoint, time.instant());
  }

  /** Counts a new relayed request; returns false if new requests are refused. */
  private synchronized boolean tryBegin() {
    if (!refusing) {
      openRelays++;
    }
    return !refusing;
  }

  /** Counts a relayed request as ended and wakes threads in {@link #awaitIdle}. */
  private synchronized void recordRelayEnded() {
    openRelays--;
    notifyAll();
  }

  /**
   * One relayed request, whose end is counted once. Confined to the event loop of the exchanges.
   */
  private final class RelayedRequest implements ResponseReceiver {

    private final ClientCall call = connections.newCall();
    private final Optional<EndpointIncarnation> endpoint;
    private final ResponseWriter writer;
    private boolean started;
    private boolean ended;

    RelayedRequest(Optional<EndpointIncarnation> endpoint, ResponseWriter writer) {
      this.endpoint = endpoint;
      this.writer = writer;
      writer.onWritable(() -> call.setReading(true));
    }

    @Override
    public void onHead(ResponseStart head) {
      started = true;
      if (departures.saysLeaving(head)) {
        endpoint.ifPresent(RelayFront.this::recordDeparture);
      }
      writer.start(
          head.withHeaders(
              HopByHopHeaders.endToEnd(head.headers()).with("Keep-Alive", KEEP_ALIVE)));
    }

    @Override
    public void onPart(byte[] part) {
      writer.write(part);
      if (!writer.isWritable()) {
        call.setReading(false);
      }
    }

    @Override
    public void onEnd() {
      writer.end();
      if (tryEnd()) {
        call.release();
      }
    }

    @Override
    public void onFailure(CallFailure failure) {
      if (started) {
        writer.abort();
      } else {
        writer.respond(RelayHeaders.failureResponse(AttemptFailures.beforeHead(failure)));
      }
      abort();
    }

    /** Closes the connection to the endpoint and ends the request, unless it has ended. */
    void abort() {
      if (tryEnd()) {
        call.abort();
      }
    }

    private boolean tryEnd() {
      boolean first = !ended;
      ended = true;
      if (first) {
        recordRelayEnded();
      }
      return first;
    }
  }

  /**
   * Handles one connection of another gateway; aborts its latest request when the gateway
   * disconnects. Confined to the event loop of the exchanges.
   */
  private final class Connection implements ExchangeHandler {

    private @Nullable RelayedRequest latestRequest;

    @Override
    public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
      Optional<HostAddress> address;
      Optional<EndpointIncarnation> endpoint;
      try {
        address = RelayHeaders.findRelayTarget(request);
        endpoint = RelayHeaders.findEndpoint(request);
      } catch (IllegalArgumentException e) {
        writer.respond(RelayHeaders.failureResponse(MALFORMED));
        return;
      }
      if (address.isPresent()) {
        relay(request, address.get(), endpoint, writer);
      } else {
        fallback.accept(request, writer);
      }
    }

    @Override
    public ResponseMessage unreadable(Failure failure) {
      return RelayHeaders.failureResponse(failure);
    }

    @Override
    public void onDisconnected() {
      if (latestRequest != null) {
        latestRequest.abort();
      }
    }

    /** Sends the request to the endpoint without its hop-by-hop headers and the relay header. */
    private void relay(
        RequestMessage request,
        HostAddress address,
        Optional<EndpointIncarnation> endpoint,
        ResponseWriter writer) {
      if (endpoint.filter(RelayFront.this::isLeaving).isPresent()) {
        writer.respond(RelayHeaders.leavingResponse());
        return;
      }
      if (!tryBegin()) {
        writer.respond(RelayHeaders.failureResponse(STOPPING));
        return;
      }
      RelayedRequest relayed = new RelayedRequest(endpoint, writer);
      latestRequest = relayed;
      HeaderList headers =
          HopByHopHeaders.endToEnd(request.headers())
              .filter(header -> !RelayHeaders.isForRelay(header));
      relayed.call.send(
          address, request.withHeaders(headers), RelayHeaders.isRepeatable(request), relayed);
    }
  }
}
