package org.cuminwell.shell.exchange;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminwell.shell.http.Listener;
import org.cuminwell.shell.http.ListenerFigures;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the connections of one address, so that they can be closed without cutting off a response.
 *
 * <p>Invariant: after {@link #drainConnections} no further request is handled on any connection.
 * Thread safe.
 */
public final class ServerListener implements Listener {

  private final Set<ServerConnection> connections = new HashSet<>();
  private @Nullable Channel channel;
  private boolean unbindRequested;
  private long acceptedConnections;
  private long shedConnections;
  private long droppedRequests;
  private volatile boolean reuseDisabled;
  private volatile boolean draining;

  @Override
  public CompletionStage<?> unbind() {
    Channel bound;
    synchronized (this) {
      bound = channel;
      unbindRequested = true;
    }
    if (bound == null) {
      throw new IllegalStateException("the listener is not bound yet");
    }
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    var _ = bound.close().addListener(_ -> closed.complete(true));
    return closed;
  }

  /** Ends each connection with its next response from now on. */
  public void disableConnectionReuse() {
    reuseDisabled = true;
  }

  @Override
  public int drainConnections(Duration atMost) throws InterruptedException {
    draining = true;
    List<ServerConnection> open;
    synchronized (this) {
      open = List.copyOf(connections);
    }
    open.forEach(ServerConnection::drain);
    return awaitNoConnections(atMost);
  }

  private synchronized int awaitNoConnections(Duration atMost) throws InterruptedException {
    long end = System.nanoTime() + atMost.toNanos();
    long remaining = atMost.toNanos();
    while (!connections.isEmpty() && remaining > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remaining);
      remaining = end - System.nanoTime();
    }
    return connections.size();
  }

  @Override
  public synchronized ListenerFigures figures() {
    return new ListenerFigures(
        acceptedConnections, connections.size(), shedConnections, droppedRequests);
  }

  /** Returns whether connections end with their next response. */
  boolean isReuseDisabled() {
    return reuseDisabled || draining;
  }

  /** Returns whether no further request is to be handled. */
  boolean isDraining() {
    return draining;
  }

  synchronized boolean isUnbindRequested() {
    return unbindRequested;
  }

  synchronized void setChannel(Channel bound) {
    channel = bound;
  }

  synchronized void recordAccepted() {
    acceptedConnections++;
  }

  /** Counts connections that were closed since they would have waited too long. */
  synchronized void recordShed(int count) {
    shedConnections += count;
  }

  /** Counts a request that was dropped since its caller had left. */
  synchronized void recordRequestDropped() {
    droppedRequests++;
  }

  synchronized void add(ServerConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection that has ended and wakes threads in {@link #drainConnections}. */
  synchronized void remove(ServerConnection connection) {
    connections.remove(connection);
    notifyAll();
  }
}
