package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.Flow;

/**
 * Passes the requests of one connection to its handler, one after another.
 *
 * <p>A connection is set up once its first request is handled, it has ended, or {@link
 * #MAX_SET_UP_TIME} has passed. The first request of a late connection is dropped if its caller has
 * left meanwhile. Thread safe.
 */
final class AcceptedConnection {

  /** How long a caller that sends nothing counts as being set up. */
  private static final Duration MAX_SET_UP_TIME = Duration.ofMillis(250);

  /** How long the first request of a late connection is held, so that a disconnect is noticed. */
  private static final Duration DISCONNECT_CHECK_TIME = Duration.ofMillis(50);

  private final HttpConnectionHandler handler;
  private final boolean late;
  private final HttpListener listener;
  private final ActorSystem system;
  private final CompletableFuture<Done> setUp = new CompletableFuture<>();
  private final Cancellable setUpTimer;
  private final AtomicBoolean firstRequestRead = new AtomicBoolean();
  private volatile boolean disconnected;

  AcceptedConnection(
      HttpConnectionHandler handler, boolean late, HttpListener listener, ActorSystem system) {
    this.handler = handler;
    this.late = late;
    this.listener = listener;
    this.system = system;
    this.setUpTimer = schedule(MAX_SET_UP_TIME, this::endSetUp);
  }

  /** Returns a stage that completes, never with an error, when the connection has been set up. */
  CompletionStage<Done> setUp() {
    return setUp;
  }

  /**
   * Returns the flow from the requests to the responses of the connection. The handler is notified
   * when no further request can be read; the listener counts the connection as ended when its
   * response stream has ended too.
   */
  Flow<HttpRequest, HttpResponse, NotUsed> requestHandling() {
    listener.recordConnectionOpened();
    return listener
        .requestFlow()
        .watchTermination(
            (_, ended) -> {
              var _ = ended.whenComplete((_, _) -> onDisconnected());
              return NotUsed.getInstance();
            })
        .buffer(1, OverflowStrategy.backpressure())
        .mapAsync(1, this::handle)
        .watchTermination(
            (_, completed) -> {
              var _ = completed.whenComplete((_, _) -> listener.recordConnectionEnded());
              return NotUsed.getInstance();
            });
  }

  private CompletionStage<HttpResponse> handle(HttpRequest request) {
    boolean isFirst = firstRequestRead.compareAndSet(false, true);
    if (!isFirst || !late) {
      endSetUp();
      return handler.handle(request);
    }
    CompletableFuture<Done> checked = new CompletableFuture<>();
    var _ = schedule(DISCONNECT_CHECK_TIME, () -> checked.complete(Done.getInstance()));
    return checked.thenCompose(_ -> handleUnlessDisconnected(request));
  }

  private CompletionStage<HttpResponse> handleUnlessDisconnected(HttpRequest request) {
    endSetUp();
    if (!disconnected) {
      return handler.handle(request);
    }
    listener.recordRequestDropped();
    BodyReader.leaveUnread(request, system);
    return CompletableFuture.completedFuture(
        HttpResponse.create().withStatus(StatusCodes.SERVICE_UNAVAILABLE));
  }

  private void onDisconnected() {
    disconnected = true;
    handler.onDisconnected();
    endSetUp();
  }

  private void endSetUp() {
    setUpTimer.cancel();
    setUp.complete(Done.getInstance());
  }

  private Cancellable schedule(Duration delay, Runnable task) {
    return system.scheduler().scheduleOnce(delay, task, system.dispatcher());
  }
}
