package org.cuminwell.shell.http;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.cuminwell.shell.duty.MonotonicTime;

/**
 * Connects each accepted connection of a listener to a handler of its own.
 *
 * <p>Invariants: a connection that can't be set up is closed and has no effect on others. At most
 * {@link #MAX_SETTING_UP} connections are being set up; further ones wait in the listener's
 * backlog, so that those that were accepted are served soon. Thread safe.
 */
final class ConnectionAcceptor {

  /** The maximum number of connections that are set up at the same time. */
  static final int MAX_SETTING_UP = 16;

  /** How long after no connection could be set up the backlog may still hold one of that time. */
  private static final Duration MAX_BACKLOG_TIME = Duration.ofSeconds(2);

  private static final System.Logger LOG = System.getLogger(ConnectionAcceptor.class.getName());

  private final HttpListener listener;
  private final Supplier<HttpConnectionHandler> handlerFactory;
  private final ActorSystem system;
  private final Materializer materializer;
  private final InstantSource time = new MonotonicTime();
  private int backlogLeft;
  private Instant lastFullAt = Instant.EPOCH;

  ConnectionAcceptor(
      HttpListener listener, Supplier<HttpConnectionHandler> handlerFactory, ActorSystem system) {
    this.listener = listener;
    this.handlerFactory = handlerFactory;
    this.system = system;
    this.materializer = SystemMaterializer.get(system).materializer();
  }

  /** Returns a sink that takes connections as fast as they can be set up. */
  Sink<IncomingConnection, CompletionStage<Done>> sink() {
    return Flow.of(IncomingConnection.class)
        .mapAsyncUnordered(MAX_SETTING_UP, this::accept)
        .toMat(Sink.ignore(), Keep.right());
  }

  /** Serves the connection, or closes it if that fails; the stage completes once it is set up. */
  private CompletionStage<Done> accept(IncomingConnection connection) {
    boolean late = mayHaveWaited(time.instant());
    CompletionStage<Done> setUp;
    try {
      AcceptedConnection accepted =
          new AcceptedConnection(handlerFactory.get(), late, listener, system);
      connection.handleWith(accepted.requestHandling(), materializer);
      setUp = accepted.setUp();
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "closed a connection that could not be set up", e);
      close(connection);
      setUp = CompletableFuture.completedFuture(Done.getInstance());
    }
    return setUp.whenComplete((_, _) -> listener.recordSetUpEnded());
  }

  /**
   * Counts a connection that is accepted now and returns whether it may have waited in the backlog:
   * not long ago no connection could be set up, and the backlog has not been emptied for certain
   * since then.
   */
  private boolean mayHaveWaited(Instant now) {
    boolean waited = backlogLeft > 0 && now.isBefore(lastFullAt.plus(MAX_BACKLOG_TIME));
    backlogLeft--;
    if (listener.recordSetUpStarted() >= MAX_SETTING_UP) {
      backlogLeft = HttpSystem.BACKLOG;
      lastFullAt = now;
    }
    return waited;
  }

  private void close(IncomingConnection connection) {
    connection.handleWith(
        Flow.<HttpRequest, HttpResponse>fromSinkAndSource(Sink.cancelled(), Source.empty()),
        materializer);
  }
}
