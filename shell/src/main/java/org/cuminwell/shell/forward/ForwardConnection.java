package org.cuminwell.shell.forward;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.http.HttpConnection;
import org.jspecify.annotations.Nullable;

/**
 * Ends what runs for a caller whose connection is gone, since nobody could get the answer.
 *
 * <p>Thread safe.
 */
final class ForwardConnection implements HttpConnection {

  private final ForwardFront front;
  private final AtomicReference<@Nullable PendingForward> latest = new AtomicReference<>();
  private volatile boolean ended;

  ForwardConnection(ForwardFront front) {
    this.front = front;
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    return front.handle(request, this);
  }

  @Override
  public void ended() {
    ended = true;
    PendingForward call = latest.get();
    if (call != null && front.isOpen(call)) {
      front.callerLeft(call);
    }
  }

  /** Returns whether nobody is left to be answered. */
  boolean hasEnded() {
    return ended;
  }

  /** Takes in that a request was opened, so that the end of the connection is told after it. */
  void opened(PendingForward call) {
    latest.set(call);
    if (ended) {
      front.callerLeft(call);
    }
  }
}
