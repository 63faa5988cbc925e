package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Accepts connections at one address. Implementations are thread safe. */
public interface Listener {

  /**
   * Stops accepting connections; the stage completes when the address is free.
   *
   * @throws IllegalStateException if the listener has not been bound
   */
  CompletionStage<?> unbind();

  /**
   * Stops reading requests and waits until every connection has sent its pending responses or the
   * time is up.
   *
   * @return the number of connections that have not ended
   */
  int drainConnections(Duration atMost) throws InterruptedException;

  /** Returns the figures of this listener. */
  ListenerFigures figures();
}
