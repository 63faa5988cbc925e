package org.cuminwell.shell.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
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
 * requests fail as not run, and requests in progress continue. Thread safe.
 */
public final class RelayFront {

  private static final Failure STOPPING =
      Failure.notRun(ErrorCode.STOPPING, "this gateway is stopping; use another gateway");

  /** The idle timeout that is announced to other gateways; connections are kept longer. */
  private static final String KEEP_ALIVE = "timeout=60";

  private final ClientConnections connections;
  private final BiConsumer<RequestMessage, ResponseWriter> fallback;
  private boolean refusing;
  private int openRelays;

  /** Creates a front end; {@code fallback} handles requests that are not to be relayed. */
  public RelayFront(
      ClientConnections connections, BiConsumer<RequestMessage, ResponseWriter> fallback) {
    this.connections = connections;
    this.fallback = fallback;
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
    private final ResponseWriter writer;
    private boolean started;
    private boolean ended;

    RelayedRequest(ResponseWriter writer) {
      this.writer = writer;
      writer.onWritable(() -> call.setReading(true));
    }

    @Override
    public void onHead(ResponseStart head) {
      started = true;
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
      Optional<HostAddress> endpoint;
      try {
        endpoint = RelayHeaders.findRelayTarget(request);
      } catch (IllegalArgumentException e) {
        writer.respond(
            RelayHeaders.failureResponse(
                Failure.notRun(
                    ErrorCode.BAD_REQUEST,
                    "the header Cuminwell-Relay-To is not a valid HOST:PORT address")));
        return;
      }
      if (endpoint.isPresent()) {
        relay(request, endpoint.get(), writer);
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
    private void relay(RequestMessage request, HostAddress endpoint, ResponseWriter writer) {
      if (!tryBegin()) {
        writer.respond(RelayHeaders.failureResponse(STOPPING));
        return;
      }
      RelayedRequest relayed = new RelayedRequest(writer);
      latestRequest = relayed;
      HeaderList headers =
          HopByHopHeaders.endToEnd(request.headers())
              .filter(header -> !RelayHeaders.isForRelay(header));
      relayed.call.send(
          endpoint, request.withHeaders(headers), RelayHeaders.isRepeatable(request), relayed);
    }
  }
}
