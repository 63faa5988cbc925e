package org.cuminwell.shell.forward;

import java.util.Optional;
import java.util.function.Supplier;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.jspecify.annotations.Nullable;

/**
 * Handles one connection of a caller: passes its requests to {@link ForwardFront} and reports when
 * the caller has disconnected, so that no endpoint keeps working for it. Confined to the event loop
 * of the exchanges.
 */
final class ForwardConnection implements ExchangeHandler {

  private final ForwardFront front;
  private @Nullable PendingForward latestRequest;

  ForwardConnection(ForwardFront front) {
    this.front = front;
  }

  @Override
  public Optional<ResponseMessage> refusalOnHead(Supplier<RequestMessage> head) {
    return front.refusalOnHead(head);
  }

  @Override
  public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
    latestRequest = front.handle(request, times.headReceivedAt(), writer).orElse(null);
  }

  @Override
  public ResponseMessage unreadable(Failure failure) {
    return front.failureResponse(Optional.empty(), failure);
  }

  @Override
  public void onDisconnected() {
    if (latestRequest != null) {
      front.onCallerDisconnected(latestRequest);
    }
  }
}
