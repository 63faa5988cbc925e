package org.cuminwell.shell.forward;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.ClientConnections;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.cuminwell.shell.http.KeptCall;
import org.cuminwell.shell.http.SingleCall;
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

  /** Announces the idle timeout of this gateway's connections, which is longer. */
  private static final HttpHeader KEEP_ALIVE = RawHeader.create("Keep-Alive", "timeout=60");

  private final ClientConnections connections;
  private final Function<HttpRequest, CompletionStage<HttpResponse>> fallback;
  private boolean refusing;
  private int openRelays;

  /** Creates a front end; {@code fallback} handles requests that are not to be relayed. */
  public RelayFront(
      ClientConnections connections,
      Function<HttpRequest, CompletionStage<HttpResponse>> fallback) {
    this.connections = connections;
    this.fallback = fallback;
  }

  /** Returns the handler for a new connection of another gateway. */
  public HttpConnectionHandler newConnection() {
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

  /** One relayed request. Its end is counted once. Thread safe. */
  private final class RelayedRequest {

    private final KeptCall call = connections.newCall();
    private final AtomicBoolean ended = new AtomicBoolean();

    /** Ends the request after a whole response; further calls have no effect. */
    void complete() {
      if (ended.compareAndSet(false, true)) {
        call.release();
        recordRelayEnded();
      }
    }

    /** Closes the connection to the endpoint and ends the request, unless it has ended. */
    void abort() {
      if (ended.compareAndSet(false, true)) {
        call.abort(new CallEndedException("the relayed request has ended"));
        recordRelayEnded();
      }
    }

    /**
     * Returns the same body and ends the request once the body has been passed on or has failed.
     */
    ResponseEntity trackEnd(ResponseEntity body) {
      if (body instanceof HttpEntity.Strict) {
        complete();
        return body;
      }
      Source<ByteString, ?> bytes = body.getDataBytes().via(endTracker());
      OptionalLong length = body.getContentLengthOption();
      return length.isPresent()
          ? HttpEntities.create(body.getContentType(), length.getAsLong(), bytes)
          : HttpEntities.createChunked(body.getContentType(), bytes);
    }

    /** Returns a stage that passes bytes unchanged and ends the request when they end. */
    private ResponseMonitor endTracker() {
      return new ResponseMonitor(InstantSource.system(), () -> {}, _ -> {}, this::endWith);
    }

    private void endWith(ForwardAttemptOutcome outcome) {
      switch (outcome) {
        case ForwardAttemptOutcome.Completed o -> complete();
        case ForwardAttemptOutcome.Failed o -> abort();
        case ForwardAttemptOutcome.ConnectionLost o -> abort();
        case ForwardAttemptOutcome.CallerDisconnected o -> abort();
      }
    }
  }

  /**
   * Handles one connection of another gateway; aborts its latest request when the gateway
   * disconnects. Thread safe.
   */
  private final class Connection implements HttpConnectionHandler {

    private final AtomicReference<@Nullable RelayedRequest> latestRequest = new AtomicReference<>();

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
      Optional<HostAddress> endpoint;
      try {
        endpoint = RelayHeaders.findRelayTarget(request);
      } catch (IllegalArgumentException e) {
        return CompletableFuture.completedFuture(
            RelayHeaders.failureResponse(
                Failure.notRun(
                    ErrorCode.BAD_REQUEST,
                    "the header Cuminwell-Relay-To is not a valid HOST:PORT address")));
      }
      return endpoint.isPresent() ? relay(request, endpoint.get()) : fallback.apply(request);
    }

    @Override
    public void onDisconnected() {
      RelayedRequest active = latestRequest.get();
      if (active != null) {
        active.abort();
      }
    }

    /** Sends the request to the endpoint without its hop-by-hop headers and the relay header. */
    private CompletionStage<HttpResponse> relay(HttpRequest request, HostAddress endpoint) {
      if (!tryBegin()) {
        return CompletableFuture.completedFuture(RelayHeaders.failureResponse(STOPPING));
      }
      RelayedRequest relayedRequest = new RelayedRequest();
      latestRequest.set(relayedRequest);
      HttpRequest forwarded =
          HttpRequest.create()
              .withMethod(request.method())
              .withUri(request.getUri())
              .addHeaders(
                  HopByHopHeaders.endToEnd(request.getHeaders()).stream()
                      .filter(header -> !RelayHeaders.isForRelay(header))
                      .toList())
              .addHeaders(RawTarget.headerOf(request))
              .withEntity(request.entity());
      return relayedRequest
          .call
          .send(endpoint, forwarded, RelayHeaders.isRepeatable(request))
          .thenApply(
              response ->
                  HttpResponse.create()
                      .withStatus(response.status())
                      .addHeaders(HopByHopHeaders.endToEnd(response.getHeaders()))
                      .addHeader(KEEP_ALIVE)
                      .withEntity(relayedRequest.trackEnd(response.entity())))
          .exceptionally(
              error -> {
                relayedRequest.abort();
                return RelayHeaders.failureResponse(SingleCall.failureOf(error));
              });
    }
  }
}
