package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Host;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request over a connection of {@link ClientConnections}.
 *
 * <p>A request that may run only once gets a connection of its own, since a kept one may have been
 * closed by the peer, which is noticed only when a request is sent. Any other is sent again over a
 * new connection if a kept one ends before a response. So in both cases a failure to connect means
 * that the request has not run. Invariant: the connection is either released or closed, once.
 * Thread safe.
 */
public final class KeptCall {

  /** Within which time a kept connection that the peer has closed must end to be replaced. */
  private static final Duration STALE_CONNECTION_TIMEOUT = Duration.ofMillis(500);

  private final ClientConnections connections;
  private @Nullable KeptConnection connection;
  private boolean ended;

  KeptCall(ClientConnections connections) {
    this.connections = connections;
  }

  /**
   * Sends the request; the stage completes when the response head has been received.
   *
   * @param repeatable whether the request may run more than once
   */
  public CompletionStage<HttpResponse> send(
      HostAddress address, HttpRequest request, boolean repeatable) {
    HttpRequest named =
        request.getHeader(Host.class).isPresent()
            ? request
            : request.addHeader(Host.create(address.host(), address.port()));
    KeptConnection kept = repeatable ? connections.takeIdle(address).orElse(null) : null;
    if (kept == null) {
      return sendOver(connections.open(address), named);
    }
    long sentAtNanos = System.nanoTime();
    return sendOver(kept, named)
        .exceptionallyCompose(
            error ->
                isStale(error, Duration.ofNanos(System.nanoTime() - sentAtNanos))
                    ? sendOver(connections.open(address), named)
                    : CompletableFuture.failedFuture(error));
  }

  /** Closes the connection at once, so that the peer stops working on the request. */
  public void abort(RuntimeException reason) {
    KeptConnection used = end();
    if (used != null) {
      used.abort(reason);
    }
  }

  /** Gives the connection back after the response was received whole. */
  public void release() {
    KeptConnection used = end();
    if (used != null) {
      connections.release(used);
    }
  }

  private CompletionStage<HttpResponse> sendOver(KeptConnection next, HttpRequest request) {
    synchronized (this) {
      if (!ended) {
        connection = next;
      }
    }
    if (isEnded()) {
      next.abort(new CallEndedException("the call has ended"));
      return CompletableFuture.failedFuture(new CallEndedException("the call has ended"));
    }
    return next.send(request);
  }

  private synchronized boolean isEnded() {
    return ended;
  }

  /** Ends the call; returns its connection the first time. */
  private synchronized @Nullable KeptConnection end() {
    KeptConnection used = ended ? null : connection;
    ended = true;
    return used;
  }

  /** Returns whether a kept connection had been closed by the peer when it was used. */
  private static boolean isStale(Throwable error, Duration sinceSent) {
    return !(error instanceof MalformedResponseException)
        && sinceSent.compareTo(STALE_CONNECTION_TIMEOUT) < 0;
  }
}
