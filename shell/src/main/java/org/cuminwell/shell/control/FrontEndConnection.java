package org.cuminwell.shell.control;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;

/**
 * Passes the requests of one connection to the handler of its front end.
 *
 * <p>Confined to the event loop of the exchanges.
 */
final class FrontEndConnection implements ExchangeHandler {

  /** How long the end of a connection is looked for, so that one that has come is noticed. */
  private static final Duration CALLER_CHECK_TIME = Duration.ofMillis(50);

  private final EventLoop loop;
  private final FrontEndHandler handler;
  private boolean disconnected;

  FrontEndConnection(EventLoop loop, FrontEndHandler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  @Override
  public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
    var _ =
        handler
            .handle(new FrontEndRequest(request, times.bounds().orElseThrow(), this::checkCaller))
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
