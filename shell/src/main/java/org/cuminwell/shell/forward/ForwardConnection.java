package org.cuminwell.shell.forward;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.jspecify.annotations.Nullable;

/**
 * Handles one connection of a caller: passes its requests to {@link ForwardFront} and reports when
 * the caller has disconnected, so that no endpoint keeps working for it.
 *
 * <p>Thread safe.
 */
final class ForwardConnection implements HttpConnectionHandler {

  private final ForwardFront front;
  private final AtomicReference<@Nullable PendingForward> latestRequest = new AtomicReference<>();
  private volatile boolean disconnected;

  ForwardConnection(ForwardFront front) {
    this.front = front;
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    return front.handle(request, this);
  }

  @Override
  public void onDisconnected() {
    disconnected = true;
    PendingForward call = latestRequest.get();
    if (call != null && front.isOpen(call)) {
      front.onCallerDisconnected(call);
    }
  }

  /** Returns whether the caller has disconnected. */
  boolean isDisconnected() {
    return disconnected;
  }

  /**
   * Records a request that was opened, so that a disconnect is reported after {@link
   * org.cuminwell.core.forward.ForwardEvent.RequestReceived} and never missed.
   */
  void onRequestOpened(PendingForward call) {
    latestRequest.set(call);
    if (disconnected) {
      front.onCallerDisconnected(call);
    }
  }
}
