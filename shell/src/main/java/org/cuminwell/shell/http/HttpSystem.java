package org.cuminwell.shell.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.cuminwell.core.model.HostAddress;

/**
 * Runs the HTTP servers and clients of a process.
 *
 * <p>Its settings leave every deadline to the project's own code. Thread safe.
 */
public final class HttpSystem implements AutoCloseable {

  private static final String SETTINGS =
      """
      pekko {
        loglevel = WARNING
        stdout-loglevel = WARNING
        log-dead-letters = off
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
            backlog = 1024
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
      """;

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final ActorSystem system;

  private HttpSystem(ActorSystem system) {
    this.system = system;
  }

  /** Starts the HTTP side of a process; {@code name} is for its threads. */
  public static HttpSystem start(String name) {
    Config settings = ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load());
    return new HttpSystem(ActorSystem.create(name, settings));
  }

  /**
   * Serves requests at the address.
   *
   * @throws IllegalStateException if the address can't be used
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
   * Serves requests at the address, with a handler for each connection that learns of its end.
   *
   * <p>One request more than the one being answered is read ahead, since only reading shows that a
   * caller has gone.
   *
   * @throws IllegalStateException if the address can't be used
   */
  public HttpListener serveConnections(
      HostAddress address, Supplier<HttpConnectionHandler> handlers) {
    HttpListener listener = new HttpListener();
    try {
      listener.setBinding(
          http()
              .newServerAt(address.host(), address.port())
              .connectionSource()
              .to(Sink.foreach(connection -> serve(connection, listener, handlers.get())))
              .run(system)
              .toCompletableFuture()
              .join());
      return listener;
    } catch (CompletionException e) {
      throw new IllegalStateException("can't listen at HTTP address " + address, e.getCause());
    }
  }

  private void serve(
      IncomingConnection connection, HttpListener listener, HttpConnectionHandler handler) {
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
                (_, answered) -> {
                  var _ = answered.whenComplete((_, _) -> listener.recordConnectionEnded());
                  return NotUsed.getInstance();
                }),
        SystemMaterializer.get(system).materializer());
  }

  /** Returns the entry point of the HTTP library. */
  public Http http() {
    return Http.get(system);
  }

  /** Returns the actor system, which runs streams. */
  public ActorSystem actors() {
    return system;
  }

  /** Closes every connection, and returns when the addresses are free again. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  /** Closes every connection, and returns when the addresses are free again or the time is up. */
  public void close(Duration atMost) {
    system.terminate();
    system
        .getWhenTerminated()
        .toCompletableFuture()
        .completeOnTimeout(null, atMost.toMillis(), TimeUnit.MILLISECONDS)
        .join();
  }
}
