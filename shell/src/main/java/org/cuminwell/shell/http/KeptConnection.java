package org.cuminwell.shell.http;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpProtocols;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an endpoint or to another gateway, over which requests are sent one after
 * another.
 *
 * <p>Invariants: a request is sent only after the response to the one before has been received
 * whole; bytes that arrive while no response is awaited close the connection. Thread safe, but only
 * one call at a time may use it.
 */
final class KeptConnection {

  /** How long the connection may be idle if the peer doesn't say when it closes it. */
  private static final Duration DEFAULT_IDLE_TIME = Duration.ofMillis(400);

  /** Which part of the idle timeout of the peer is used. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*([0-9]{1,5})");

  private final HostAddress address;
  private final ResponseGate gate;
  private final SharedKillSwitch killSwitch = KillSwitches.shared("connection");
  private final BoundedSourceQueue<HttpRequest> requests;
  private CompletableFuture<HttpResponse> awaited = new CompletableFuture<>();
  private @Nullable HttpResponse latest;
  private boolean closed;
  private Instant idleUntil = Instant.MIN;

  /**
   * Opens a connection.
   *
   * @param flow the connection as a flow, which the gate controls
   * @param onClosed is called once when the connection has been closed
   */
  KeptConnection(
      HostAddress address,
      Flow<HttpRequest, HttpResponse, ?> flow,
      ResponseGate gate,
      ActorSystem system,
      Consumer<KeptConnection> onClosed) {
    this.address = address;
    this.gate = gate;
    this.requests =
        Source.<HttpRequest>queue(1)
            .via(killSwitch.flow())
            .via(flow)
            .watchTermination(
                (queue, ended) -> {
                  var _ =
                      ended.whenComplete(
                          (_, error) -> {
                            onEnded(error);
                            onClosed.accept(this);
                          });
                  return queue;
                })
            .toMat(Sink.foreach(this::onResponse), Keep.left())
            .run(system);
  }

  HostAddress address() {
    return address;
  }

  /** Sends a request; the stage completes when the response head has been received. */
  CompletionStage<HttpResponse> send(HttpRequest request) {
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    synchronized (this) {
      if (closed) {
        return CompletableFuture.failedFuture(connectionEnded());
      }
      awaited = response;
    }
    gate.expectResponse();
    if (!requests.offer(request).isEnqueued()) {
      response.completeExceptionally(connectionEnded());
    }
    return response;
  }

  /** Closes the connection at once. */
  void abort(RuntimeException reason) {
    killSwitch.abort(reason);
  }

  /** Closes the connection, which must be idle. */
  void close() {
    requests.complete();
  }

  /**
   * Makes the connection idle after a response that was received whole, and returns whether it can
   * be used again.
   */
  boolean tryMakeIdle(Instant now) {
    gate.expectNothing();
    synchronized (this) {
      if (closed || latest == null || !allowsReuse(latest)) {
        return false;
      }
      idleUntil = now.plus(idleTime(latest));
      return true;
    }
  }

  /** Returns whether the idle connection can be used at this time. */
  synchronized boolean isUsable(Instant now) {
    return !closed && now.isBefore(idleUntil);
  }

  private void onResponse(HttpResponse response) {
    CompletableFuture<HttpResponse> receiver;
    synchronized (this) {
      latest = response;
      receiver = awaited;
    }
    receiver.complete(response);
  }

  private void onEnded(@Nullable Throwable error) {
    CompletableFuture<HttpResponse> receiver;
    synchronized (this) {
      closed = true;
      receiver = awaited;
    }
    receiver.completeExceptionally(error == null ? connectionEnded() : error);
  }

  private static CallEndedException connectionEnded() {
    return new CallEndedException("the connection ended before a response");
  }

  private static boolean allowsReuse(HttpResponse response) {
    ResponseEntity entity = response.entity();
    boolean delimited = entity.isChunked() || entity.getContentLengthOption().isPresent();
    return delimited
        && response.protocol().equals(HttpProtocols.HTTP_1_1)
        && response
            .getHeader("Connection")
            .filter(header -> header.value().toLowerCase(java.util.Locale.ROOT).contains("close"))
            .isEmpty();
  }

  private static Duration idleTime(HttpResponse response) {
    return response
        .getHeader("Keep-Alive")
        .map(HttpHeader::value)
        .map(TIMEOUT::matcher)
        .filter(Matcher::find)
        .map(found -> Long.parseLong(found.group(1)) * IDLE_TIMEOUT_FRACTION)
        .map(seconds -> Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)))
        .orElse(DEFAULT_IDLE_TIME);
  }
}
