package org.cuminwell.shell.control;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminwell.core.model.ErrorCode;
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

  private static final System.Logger LOG = System.getLogger(FrontEndConnection.class.getName());

  /** How long an order is held, so that a disconnect is noticed. */
  private static final Duration DISCONNECT_CHECK_TIME = Duration.ofMillis(50);

  private static final Failure NOT_UNDERSTOOD =
      Failure.notRun(ErrorCode.BAD_REQUEST, "the request can't be understood");

  private final EventLoop loop;
  private final FrontEndHandler handler;
  private boolean disconnected;

  FrontEndConnection(EventLoop loop, FrontEndHandler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  @Override
  public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
    FrontEndRequest received =
        new FrontEndRequest(
            request,
            times.headReceivedAt(),
            times.bounds().orElseThrow(),
            this::checkStillConnected);
    var _ = handle(received).thenAccept(response -> respond(writer, response));
  }

  private CompletionStage<ResponseMessage> handle(FrontEndRequest request) {
    try {
      return handler.handle(request);
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.WARNING, "a front end could not handle a request", e);
      return CompletableFuture.completedFuture(handler.unreadable(NOT_UNDERSTOOD));
    }
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

  private CompletionStage<Boolean> checkStillConnected() {
    CompletableFuture<Boolean> connected = new CompletableFuture<>();
    var _ =
        loop.schedule(
            () -> connected.complete(!disconnected),
            DISCONNECT_CHECK_TIME.toMillis(),
            TimeUnit.MILLISECONDS);
    return connected;
  }
}
