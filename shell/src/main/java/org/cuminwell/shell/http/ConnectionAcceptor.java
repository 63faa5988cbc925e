package org.cuminwell.shell.http;

import java.util.function.Supplier;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Connects each accepted connection of a listener to a handler of its own.
 *
 * <p>Invariant: a connection that can't be set up is closed and has no effect on others. Thread
 * safe.
 */
final class ConnectionAcceptor {

  private static final System.Logger LOG = System.getLogger(ConnectionAcceptor.class.getName());

  private final HttpListener listener;
  private final Supplier<HttpConnectionHandler> handlerFactory;
  private final Materializer materializer;

  ConnectionAcceptor(
      HttpListener listener,
      Supplier<HttpConnectionHandler> handlerFactory,
      Materializer materializer) {
    this.listener = listener;
    this.handlerFactory = handlerFactory;
    this.materializer = materializer;
  }

  /** Serves the connection with a new handler, or closes it if that fails. */
  void accept(IncomingConnection connection) {
    try {
      serve(connection, handlerFactory.get());
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "closed a connection that could not be set up", e);
      connection.handleWith(
          Flow.<HttpRequest, HttpResponse>fromSinkAndSource(Sink.cancelled(), Source.empty()),
          materializer);
    }
  }

  /**
   * Handles the requests of one connection, one after another. The handler is notified when no
   * further request can be read; the listener counts the connection as ended when its response
   * stream has ended too.
   */
  private void serve(IncomingConnection connection, HttpConnectionHandler handler) {
    listener.recordConnectionOpened();
    connection.handleWith(
        listener
            .requestFlow()
            .watchTermination(
                (_, ended) -> {
                  var _ = ended.whenComplete((_, _) -> handler.onDisconnected());
                  return NotUsed.getInstance();
                })
            .buffer(1, OverflowStrategy.backpressure())
            .mapAsync(1, handler::handle)
            .watchTermination(
                (_, completed) -> {
                  var _ = completed.whenComplete((_, _) -> listener.recordConnectionEnded());
                  return NotUsed.getInstance();
                }),
        materializer);
  }
}
