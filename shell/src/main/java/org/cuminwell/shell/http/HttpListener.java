package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Tcp;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the server connections of one address, so that they can be closed without cutting off a
 * response.
 *
 * <p>Invariant: after {@link #drainConnections} no further request is read from any connection.
 * Thread safe.
 */
public final class HttpListener implements Listener {

  private final SharedKillSwitch requestReading = KillSwitches.shared("requests");
  private Tcp.@Nullable ServerBinding binding;
  private boolean unbindRequested;
  private int openConnections;
  private long acceptedConnections;
  private long shedConnections;
  private long droppedRequests;

  @Override
  public CompletionStage<Done> unbind() {
    Tcp.ServerBinding currentBinding;
    synchronized (this) {
      currentBinding = binding;
      unbindRequested = true;
    }
    if (currentBinding == null) {
      throw new IllegalStateException("the listener is not bound yet");
    }
    return currentBinding.unbind().thenApply(_ -> Done.getInstance());
  }

  @Override
  public synchronized int drainConnections(Duration atMost) throws InterruptedException {
    requestReading.shutdown();
    long end = System.nanoTime() + atMost.toNanos();
    long remaining = atMost.toNanos();
    while (openConnections > 0 && remaining > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remaining);
      remaining = end - System.nanoTime();
    }
    return openConnections;
  }

  /** Returns whether {@link #unbind} was called. */
  synchronized boolean isUnbindRequested() {
    return unbindRequested;
  }

  /** Sets the binding once the address is bound. */
  synchronized void setBinding(Tcp.ServerBinding to) {
    binding = to;
  }

  /** Returns the flow for the requests of a new connection; it ends on a drain. */
  Flow<HttpRequest, HttpRequest, NotUsed> requestFlow() {
    return Flow.of(HttpRequest.class).via(requestReading.flow());
  }

  @Override
  public synchronized ListenerFigures figures() {
    return new ListenerFigures(
        acceptedConnections, openConnections, shedConnections, droppedRequests);
  }

  /** Counts an accepted connection. */
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

  /** Counts a new connection as open. */
  synchronized void recordConnectionOpened() {
    openConnections++;
  }

  /** Counts a connection as ended and wakes threads in {@link #drainConnections}. */
  synchronized void recordConnectionEnded() {
    openConnections--;
    notifyAll();
  }
}
