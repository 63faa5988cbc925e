package org.cuminwell.shell.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.SingleCall;
import org.jspecify.annotations.Nullable;

/**
 * Passes requests of other gateways to endpoints of this region, without a decision of its own.
 *
 * <p>A request that was passed on once goes to an endpoint and never to another gateway. Requests
 * without a mark go to the handler that answers the rest. Invariant: once it refuses, requests that
 * come are failed as not run, and those passed on before go on. Thread safe.
 */
public final class RelayFront {

  private static final Failure STOPPING =
      Failure.notRun(ErrorCode.STOPPING, "this gateway is stopping; use another");

  private final HttpSystem http;
  private final Function<HttpRequest, CompletionStage<HttpResponse>> fallback;
  private final ClientConnectionSettings settings;
  private boolean refusing;
  private int openRelays;

  /** Makes a front; {@code others} answers requests that are not to be passed on. */
  public RelayFront(HttpSystem http, Function<HttpRequest, CompletionStage<HttpResponse>> others) {
    this.http = http;
    this.fallback = others;
    this.settings = SingleCall.clientSettings(http, ForwardClient.CONNECT_TIMEOUT);
  }

  /** Returns the handler of a new connection. */
  public HttpConnectionHandler newConnection() {
    return new Connection();
  }

  /** Passes on nothing more that comes from now on. */
  public synchronized void refuseNewRequests() {
    refusing = true;
  }

  /**
   * Waits until every answer that is passed on has ended.
   *
   * @return how many had not ended when the time was up
   */
  public synchronized int awaitIdle(Duration atMost) throws InterruptedException {
    long end = System.nanoTime() + atMost.toNanos();
    long left = atMost.toNanos();
    while (openRelays > 0 && left > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
      left = end - System.nanoTime();
    }
    return openRelays;
  }

  private synchronized boolean tryBegin() {
    if (!refusing) {
      openRelays++;
    }
    return !refusing;
  }

  private synchronized void recordRelayEnded() {
    openRelays--;
    notifyAll();
  }

  /** Is a request that was passed on; it ends once. Thread safe. */
  private final class RelayedRequest {

    private final SingleCall call = new SingleCall();
    private final AtomicBoolean ended = new AtomicBoolean();

    void end() {
      if (ended.compareAndSet(false, true)) {
        recordRelayEnded();
      }
    }

    void abort() {
      call.abort(new CallEndedException("the other gateway has gone"));
      end();
    }

    /** Returns the same body, whose end is noted. */
    ResponseEntity trackEnd(ResponseEntity body) {
      if (body instanceof HttpEntity.Strict) {
        end();
        return body;
      }
      Source<ByteString, ?> bytes = body.getDataBytes().via(endTracker());
      OptionalLong length = body.getContentLengthOption();
      return length.isPresent()
          ? HttpEntities.create(body.getContentType(), length.getAsLong(), bytes)
          : HttpEntities.createChunked(body.getContentType(), bytes);
    }

    private Flow<ByteString, ByteString, NotUsed> endTracker() {
      return Flow.of(ByteString.class)
          .watchTermination(
              (_, ended) -> {
                var _ = ended.whenComplete((_, _) -> end());
                return NotUsed.getInstance();
              });
    }
  }

  /** Ends what runs for a gateway whose connection has gone. Thread safe. */
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
                Failure.notRun(ErrorCode.BAD_REQUEST, "no address to pass on to")));
      }
      return endpoint.isPresent() ? relay(request, endpoint.get()) : fallback.apply(request);
    }

    @Override
    public void onDisconnected() {
      RelayedRequest running = latestRequest.get();
      if (running != null) {
        running.abort();
      }
    }

    private CompletionStage<HttpResponse> relay(HttpRequest request, HostAddress endpoint) {
      if (!tryBegin()) {
        return CompletableFuture.completedFuture(RelayHeaders.failureResponse(STOPPING));
      }
      RelayedRequest relayedRequest = new RelayedRequest();
      latestRequest.set(relayedRequest);
      HttpRequest passed =
          HttpRequest.create()
              .withMethod(request.method())
              .withUri(request.getUri())
              .addHeaders(
                  HopByHopHeaders.endToEnd(request.getHeaders()).stream()
                      .filter(header -> !RelayHeaders.isRelayTarget(header))
                      .toList())
              .addHeaders(RawTarget.headerOf(request))
              .addHeader(RawHeader.create("Connection", "close"))
              .withEntity(request.entity());
      return relayedRequest
          .call
          .send(http, settings, endpoint, passed)
          .thenApply(
              response ->
                  HttpResponse.create()
                      .withStatus(response.status())
                      .addHeaders(HopByHopHeaders.endToEnd(response.getHeaders()))
                      .withEntity(relayedRequest.trackEnd(response.entity())))
          .exceptionally(
              error -> {
                relayedRequest.end();
                return RelayHeaders.failureResponse(SingleCall.failureOf(error));
              });
    }
  }
}
