package org.cuminwell.app;

import java.util.concurrent.CountDownLatch;

/**
 * Turns the signal that ends a process into a graceful stop. Stateless and thread safe.
 *
 * <p>The stop runs before the exit of the virtual machine begins, since that closes the log.
 */
final class Shutdown {

  private Shutdown() {}

  /** Stops a process. */
  interface Stop {
    /** Stops it, and returns when it has stopped. */
    void run() throws InterruptedException;
  }

  /** Waits for SIGTERM or SIGINT, does {@code stop} and returns. */
  static void awaitSignal(Stop stop) throws InterruptedException {
    CountDownLatch asked = new CountDownLatch(1);
    Signals.handle("TERM", asked::countDown);
    Signals.handle("INT", asked::countDown);
    asked.await();
    stop.run();
  }
}
