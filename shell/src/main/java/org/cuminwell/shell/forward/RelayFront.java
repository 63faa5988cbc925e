package org.cuminwell.shell.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
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
 * without a mark go to the handler that answers the rest. Thread safe.
 */
public final class RelayFront {

  private final HttpSystem http;
  private final Function<HttpRequest, CompletionStage<HttpResponse>> others;
  private final ClientConnectionSettings settings;

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

  /** Ends what runs for a gateway whose connection has gone. Thread safe. */
  private final class Connection implements HttpConnection {

    private final AtomicReference<@Nullable SingleCall> latest = new AtomicReference<>();

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
      SingleCall running = latest.get();
      if (running != null) {
        running.abort(new CallOverException("the other gateway has gone"));
      }
    }

    private CompletionStage<HttpResponse> relay(HttpRequest request, HostAddress endpoint) {
      SingleCall call = new SingleCall();
      latest.set(call);
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
      return call.send(http, settings, endpoint, passed)
          .thenApply(
              response ->
                  HttpResponse.create()
                      .withStatus(response.status())
                      .addHeaders(HopByHop.endToEnd(response.getHeaders()))
                      .withEntity(response.entity()))
          .exceptionally(error -> RelayHeaders.failed(SingleCall.failureOf(error)));
    }
  }
}
