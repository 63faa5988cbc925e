package org.cuminwell.shell.control;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;

/**
 * Passes the requests of one connection to the handler of its front end.
 *
 * <p>Every request counts as sent when the connection was established, since nothing tells how much
 * later it was sent. Confined to the event loop of the exchanges.
 */
final class FrontEndConnection implements ExchangeHandler {

  /** How long the end of a connection is looked for, so that one that has come is noticed. */
  private static final Duration CALLER_CHECK_TIME = Duration.ofMillis(50);

  private final EventLoop loop;
  private final FrontEndHandler handler;
  private final Instant establishedAfter;
  private boolean disconnected;

  FrontEndConnection(EventLoop loop, FrontEndHandler handler, Instant establishedAfter) {
    this.loop = loop;
    this.handler = handler;
    this.establishedAfter = establishedAfter;
  }

  @Override
  public void onRequest(RequestMessage request, Instant headReceivedAt, ResponseWriter writer) {
    var _ =
        handler
            .handle(new FrontEndRequest(request, establishedAfter, this::checkCaller))
            .thenAccept(response -> respond(writer, response));
  }

  @Override
  public ResponseMessage unreadable(Failure failure) {
    return handler.unreadable(failure);
  }

  @Override
  public void onDisconnected() {
    disconnected = true;
  }

  private void respond(ResponseWriter writer, ResponseMessage response) {
    if (!loop.isShuttingDown()) {
      loop.execute(() -> writer.respond(response));
    }
  }

  private CompletionStage<Boolean> checkCaller() {
    CompletableFuture<Boolean> connected = new CompletableFuture<>();
    var _ =
        loop.schedule(
            () -> connected.complete(!disconnected),
            CALLER_CHECK_TIME.toMillis(),
            TimeUnit.MILLISECONDS);
    return connected;
  }
}
