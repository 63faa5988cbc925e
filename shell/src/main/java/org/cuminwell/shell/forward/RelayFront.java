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
import org.cuminwell.shell.http.CallOverException;
import org.cuminwell.shell.http.HttpConnection;
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
  private final Function<HttpRequest, CompletionStage<HttpResponse>> others;
  private final ClientConnectionSettings settings;
  private boolean refusing;
  private int open;

  /** Makes a front; {@code others} answers requests that are not to be passed on. */
  public RelayFront(HttpSystem http, Function<HttpRequest, CompletionStage<HttpResponse>> others) {
    this.http = http;
    this.others = others;
    this.settings = SingleCall.settings(http, ForwardClient.CONNECT_TIMEOUT);
  }

  /** Returns the handler of a new connection. */
  public HttpConnection connection() {
    return new Connection();
  }

  /** Passes on nothing more that comes from now on. */
  public synchronized void refuse() {
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
    while (open > 0 && left > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
      left = end - System.nanoTime();
    }
    return open;
  }

  private synchronized boolean tryBegin() {
    if (!refusing) {
      open++;
    }
    return !refusing;
  }

  private synchronized void ended() {
    open--;
    notifyAll();
  }

  /** Is a request that was passed on; it ends once. Thread safe. */
  private final class Relayed {

    private final SingleCall call = new SingleCall();
    private final AtomicBoolean over = new AtomicBoolean();

    void end() {
      if (over.compareAndSet(false, true)) {
        ended();
      }
    }

    void abort() {
      call.abort(new CallOverException("the other gateway has gone"));
      end();
    }

    /** Returns the same body, whose end is noted. */
    ResponseEntity watch(ResponseEntity body) {
      if (body instanceof HttpEntity.Strict) {
        end();
        return body;
      }
      Source<ByteString, ?> bytes = body.getDataBytes().via(untilEnd());
      OptionalLong length = body.getContentLengthOption();
      return length.isPresent()
          ? HttpEntities.create(body.getContentType(), length.getAsLong(), bytes)
          : HttpEntities.createChunked(body.getContentType(), bytes);
    }

    private Flow<ByteString, ByteString, NotUsed> untilEnd() {
      return Flow.of(ByteString.class)
          .watchTermination(
              (_, ended) -> {
                var _ = ended.whenComplete((_, _) -> end());
                return NotUsed.getInstance();
              });
    }
  }

  /** Ends what runs for a gateway whose connection has gone. Thread safe. */
  private final class Connection implements HttpConnection {

    private final AtomicReference<@Nullable Relayed> latest = new AtomicReference<>();

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
      Optional<HostAddress> endpoint;
      try {
        endpoint = RelayHeaders.endpoint(request);
      } catch (IllegalArgumentException e) {
        return CompletableFuture.completedFuture(
            RelayHeaders.failed(Failure.notRun(ErrorCode.BAD_REQUEST, "no address to pass on to")));
      }
      return endpoint.isPresent() ? relay(request, endpoint.get()) : others.apply(request);
    }

    @Override
    public void ended() {
      Relayed running = latest.get();
      if (running != null) {
        running.abort();
      }
    }

    private CompletionStage<HttpResponse> relay(HttpRequest request, HostAddress endpoint) {
      if (!tryBegin()) {
        return CompletableFuture.completedFuture(RelayHeaders.failed(STOPPING));
      }
      Relayed relayed = new Relayed();
      latest.set(relayed);
      HttpRequest passed =
          HttpRequest.create()
              .withMethod(request.method())
              .withUri(request.getUri())
              .addHeaders(
                  HopByHop.endToEnd(request.getHeaders()).stream()
                      .filter(header -> !RelayHeaders.isMark(header))
                      .toList())
              .addHeaders(RawTarget.of(request))
              .addHeader(RawHeader.create("Connection", "close"))
              .withEntity(request.entity());
      return relayed
          .call
          .send(http, settings, endpoint, passed)
          .thenApply(
              response ->
                  HttpResponse.create()
                      .withStatus(response.status())
                      .addHeaders(HopByHop.endToEnd(response.getHeaders()))
                      .withEntity(relayed.watch(response.entity())))
          .exceptionally(
              error -> {
                relayed.end();
                return RelayHeaders.failed(SingleCall.failureOf(error));
              });
    }
  }
}
