package org.cuminwell.shell.forward;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.jspecify.annotations.Nullable;

/**
 * Ends what runs for a caller whose connection is gone, since nobody could get the answer.
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

  /** Returns whether nobody is left to be answered. */
  boolean isDisconnected() {
    return disconnected;
  }

  /** Takes in that a request was opened, so that the end of the connection is told after it. */
  void onRequestOpened(PendingForward call) {
    latestRequest.set(call);
    if (disconnected) {
      front.onCallerDisconnected(call);
    }
  }
}
