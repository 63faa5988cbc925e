package org.cuminwell.shell.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.ActorAttributes;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.duty.FailedProcess;
import org.jspecify.annotations.Nullable;

/**
 * Runs the HTTP servers and clients of a process with Pekko HTTP, on one actor system.
 *
 * <p>Pekko HTTP's request timeout and retries are off, since the project's own code sets deadlines
 * and makes retries. Thread safe.
 */
public final class HttpSystem implements AutoCloseable {

  /** The maximum number of connections that the operating system holds until they are accepted. */
  static final int BACKLOG = 128;

  private static final String SETTINGS =
      """
      pekko {
        loglevel = WARNING
        stdout-loglevel = WARNING
        log-dead-letters = off
        cuminwell-accept-dispatcher {
          type = PinnedDispatcher
          executor = thread-pool-executor
        }
        coordinated-shutdown.run-by-jvm-shutdown-hook = off
        coordinated-shutdown.run-by-actor-system-terminate = off
        jvm-exit-on-fatal-error = on
        scheduler.tick-duration = 50 ms
        actor.default-dispatcher.fork-join-executor {
          parallelism-min = 2
          parallelism-factor = 1.0
          parallelism-max = 8
        }
        stream.materializer.subscription-timeout.timeout = 120 s
        http {
          server {
            server-header = ""
            request-timeout = infinite
            idle-timeout = 300 s
            max-connections = 16384
            backlog = %d
            raw-request-uri-header = on
            pipelining-limit = 2
            parsing.max-header-count = 64
            parsing.max-header-value-length = 8k
            parsing.max-uri-length = 4k
            parsing.illegal-header-warnings = off
          }
          client {
            user-agent-header = ""
            connecting-timeout = 2 s
            idle-timeout = 300 s
            parsing.max-content-length = infinite
            parsing.illegal-header-warnings = off
          }
          host-connection-pool {
            max-connections = 4096
            max-open-requests = 8192
            max-retries = 0
            idle-timeout = 60 s
          }
        }
      }
      """
          .formatted(BACKLOG);

  /** Accepting has a thread of its own, so that it goes on however much is being handled. */
  private static final String ACCEPT_DISPATCHER = "pekko.cuminwell-accept-dispatcher";

  private static final Duration SERVER_IDLE_TIMEOUT = Duration.ofMinutes(5);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final ActorSystem system;
  private volatile boolean closing;

  private HttpSystem(ActorSystem system) {
    this.system = system;
  }

  /** Starts an actor system; {@code name} becomes part of its thread names. */
  public static HttpSystem start(String name) {
    Config settings = ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load());
    return new HttpSystem(ActorSystem.create(name, settings));
  }

  /**
   * Serves requests at the address with one handler for all connections.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public ServerBinding serve(
      HostAddress address, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    try {
      return http()
          .newServerAt(address.host(), address.port())
          .bind(handler::apply)
          .toCompletableFuture()
          .join();
    } catch (CompletionException e) {
      throw new IllegalStateException("can't listen at HTTP address " + address, e.getCause());
    }
  }

  /**
   * Serves requests at the address with a new handler for each connection, which is notified when
   * no further request can be read, as the caller has disconnected or the listener is draining.
   *
   * <p>While a request is being handled one more is read ahead, since only a read shows that the
   * caller has disconnected.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public HttpListener serveConnections(
      HostAddress address, Supplier<HttpConnectionHandler> handlerFactory) {
    HttpListener listener = new HttpListener();
    ConnectionAcceptor acceptor =
        new ConnectionAcceptor(listener, handlerFactory, serverCodec(), system);
    try {
      var running =
          Tcp.get(system)
              .bind(
                  address.host(),
                  address.port(),
                  BACKLOG,
                  List.of(),
                  false,
                  Optional.of(SERVER_IDLE_TIMEOUT))
              .toMat(Sink.foreach(acceptor::accept), Keep.both())
              .withAttributes(ActorAttributes.dispatcher(ACCEPT_DISPATCHER))
              .run(system);
      listener.setBinding(running.first().toCompletableFuture().join());
      var _ = running.second().whenComplete((_, error) -> onAcceptingEnded(listener, error));
      return listener;
    } catch (CompletionException e) {
      throw new IllegalStateException("can't listen at HTTP address " + address, e.getCause());
    }
  }

  /**
   * Ends the process if connections are no longer accepted though nobody asked for it, since
   * callers would still be sent to it.
   */
  private void onAcceptingEnded(HttpListener listener, @Nullable Throwable error) {
    if (!closing && !listener.isUnbindRequested()) {
      FailedProcess.halt("an HTTP listener no longer accepts connections", error);
    }
  }

  /** Returns a function that adds the encoding of requests and responses to a flow. */
  private Function<Flow<HttpRequest, HttpResponse, NotUsed>, Flow<ByteString, ByteString, NotUsed>>
      serverCodec() {
    BidiFlow<ByteString, HttpRequest, HttpResponse, ByteString, NotUsed> codec =
        http().serverLayer().atop(PlainTransport.stage()).reversed();
    return codec::join;
  }

  /** Returns the Pekko HTTP entry point for servers and clients. */
  public Http http() {
    return Http.get(system);
  }

  /** Returns the actor system that runs the streams. */
  public ActorSystem actorSystem() {
    return system;
  }

  /** Closes all connections and waits at most 3 s until the addresses are free again. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  /** Closes all connections and waits until the addresses are free again or the time is up. */
  public void close(Duration atMost) {
    closing = true;
    system.terminate();
    system
        .getWhenTerminated()
        .toCompletableFuture()
        .completeOnTimeout(null, atMost.toMillis(), TimeUnit.MILLISECONDS)
        .join();
  }
}
