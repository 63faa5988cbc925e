package org.cuminwell.shell.http;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.cuminwell.shell.duty.MonotonicTime;

/**
 * Connects each accepted connection of a listener to a handler of its own, as {@link
 * ConnectionQueue} decides.
 *
 * <p>Invariant: a connection that can't be set up is closed and has no effect on others. Thread
 * safe.
 */
final class ConnectionAcceptor {

  /** How long a connection must have waited for its caller to have left, possibly. */
  private static final Duration LATE_AFTER = Duration.ofMillis(100);

  private static final System.Logger LOG = System.getLogger(ConnectionAcceptor.class.getName());

  private final HttpListener listener;
  private final Supplier<HttpConnectionHandler> handlerFactory;
  private final Function<
          Flow<HttpRequest, HttpResponse, NotUsed>, Flow<ByteString, ByteString, NotUsed>>
      codec;
  private final ActorSystem system;
  private final Materializer materializer;
  private final InstantSource time = new MonotonicTime();
  private final ConnectionQueue<Tcp.IncomingConnection> queue = new ConnectionQueue<>();

  /** Creates an acceptor; {@code codec} adds the encoding of requests and responses to a flow. */
  ConnectionAcceptor(
      HttpListener listener,
      Supplier<HttpConnectionHandler> handlerFactory,
      Function<Flow<HttpRequest, HttpResponse, NotUsed>, Flow<ByteString, ByteString, NotUsed>>
          codec,
      ActorSystem system) {
    this.listener = listener;
    this.handlerFactory = handlerFactory;
    this.codec = codec;
    this.system = system;
    this.materializer = SystemMaterializer.get(system).materializer();
  }

  /** Sets the connection up now or later, or closes it. */
  void accept(Tcp.IncomingConnection connection) {
    listener.recordAccepted();
    ConnectionQueue.Decision<Tcp.IncomingConnection> decision;
    synchronized (queue) {
      decision = queue.add(connection, time.instant());
    }
    perform(decision);
  }

  private void onSetUp() {
    ConnectionQueue.Decision<Tcp.IncomingConnection> decision;
    synchronized (queue) {
      decision = queue.recordSetUp(time.instant());
    }
    perform(decision);
  }

  private void perform(ConnectionQueue.Decision<Tcp.IncomingConnection> decision) {
    listener.recordShed(decision.closed().size());
    decision.closed().forEach(this::close);
    decision.next().ifPresent(next -> system.dispatcher().execute(() -> setUp(next)));
  }

  private void setUp(ConnectionQueue.Next<Tcp.IncomingConnection> next) {
    boolean late = next.waited().compareTo(LATE_AFTER) >= 0;
    try {
      AcceptedConnection accepted =
          new AcceptedConnection(handlerFactory.get(), late, listener, system);
      next.connection().handleWith(codec.apply(accepted.requestHandling()), materializer);
      var _ = accepted.setUp().thenRun(this::onSetUp);
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "closed a connection that could not be set up", e);
      close(next.connection());
      onSetUp();
    }
  }

  /** Closes a connection without reading from it, which tells its caller that nothing has run. */
  private void close(Tcp.IncomingConnection connection) {
    connection.handleWith(
        Flow.<ByteString, ByteString>fromSinkAndSource(Sink.cancelled(), Source.empty()),
        materializer);
  }
}
