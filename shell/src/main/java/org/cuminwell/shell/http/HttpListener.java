package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.jspecify.annotations.Nullable;

/**
 * Follows the connections of one address, so that they can be ended without cutting an answer.
 *
 * <p>Invariant: once the connections are ended no further request is read from any. Thread safe.
 */
public final class HttpListener {

  private final SharedKillSwitch requestReading = KillSwitches.shared("requests");
  private @Nullable ServerBinding binding;
  private int openConnections;

  /** Takes no new connections from now on; the stage ends when the address is free. */
  public CompletionStage<Done> unbind() {
    ServerBinding bound;
    synchronized (this) {
      bound = binding;
    }
    if (bound == null) {
      throw new IllegalStateException("the listener is not bound yet");
    }
    return bound.unbind();
  }

  /**
   * Reads no further request, and waits until the connections have given the answers they owe.
   *
   * @return how many connections still owed one
   */
  public synchronized int drainConnections(Duration atMost) throws InterruptedException {
    requestReading.shutdown();
    long end = System.nanoTime() + atMost.toNanos();
    long left = atMost.toNanos();
    while (openConnections > 0 && left > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
      left = end - System.nanoTime();
    }
    return openConnections;
  }

  synchronized void setBinding(ServerBinding to) {
    binding = to;
  }

  /** Returns what the requests of a new connection pass through. */
  Flow<HttpRequest, HttpRequest, NotUsed> requestFlow() {
    return Flow.of(HttpRequest.class).via(requestReading.flow());
  }

  synchronized void recordConnectionOpened() {
    openConnections++;
  }

  synchronized void recordConnectionEnded() {
    openConnections--;
    notifyAll();
  }
}
