package org.cuminwell.shell.gateway;

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
final class CallerConnection implements HttpConnectionHandler {

  private final CallerFront front;
  private final AtomicReference<@Nullable PendingCall> latest = new AtomicReference<>();
  private volatile boolean ended;

  CallerConnection(CallerFront front) {
    this.front = front;
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    return front.handle(request, this::opened).whenComplete((_, _) -> latest.set(null));
  }

  @Override
  public void onDisconnected() {
    ended = true;
    PendingCall call = latest.get();
    if (call != null) {
      front.callerLeft(call);
    }
  }

  private void opened(PendingCall call) {
    latest.set(call);
    if (ended) {
      front.callerLeft(call);
    }
  }
}
