package org.cuminwell.shell.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;

/** Names the servers that accept callers. Each responds with success to every request. */
enum ServerKind {
  /** Serves the project's own interface. */
  API {
    @Override
    AutoCloseable serve(HostAddress address, Runnable onConnection, Consumer<String> onPath) {
      HttpSystem http = HttpSystem.start("listener-test");
      http.serveConnections(
          address,
          () -> {
            onConnection.run();
            return new ApiHandler(onPath);
          });
      return http;
    }
  },

  /** Serves requests that are forwarded. */
  FORWARDING {
    @Override
    AutoCloseable serve(HostAddress address, Runnable onConnection, Consumer<String> onPath) {
      HttpEventLoops loops = new HttpEventLoops();
      HttpServer.bind(
          loops,
          address,
          () -> {
            onConnection.run();
            return new ForwardingHandler(onPath);
          });
      return loops;
    }
  };

  /**
   * Serves at the address until it is closed.
   *
   * @param onConnection runs when a connection is set up, which fails if it throws
   * @param onPath receives the path of each request that is handled
   */
  abstract AutoCloseable serve(HostAddress address, Runnable onConnection, Consumer<String> onPath);

  /** Responds to requests of the API and reports their paths. */
  private record ApiHandler(Consumer<String> onPath) implements HttpConnectionHandler {

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
      onPath.accept(request.getUri().path());
      return CompletableFuture.completedFuture(HttpResponse.create());
    }

    @Override
    public void onDisconnected() {}
  }

  /** Responds to forwarded requests and reports their paths. */
  private record ForwardingHandler(Consumer<String> onPath) implements ExchangeHandler {

    @Override
    public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
      onPath.accept(request.path());
      writer.respond(ResponseMessage.empty(200));
    }

    @Override
    public ResponseMessage unreadable(Failure failure) {
      return ResponseMessage.empty(400);
    }

    @Override
    public void onDisconnected() {}
  }
}
