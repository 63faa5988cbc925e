package org.cuminwell.app;

import java.util.concurrent.CountDownLatch;

/** Turns the signal that ends a process into a graceful stop. Stateless and thread safe. */
final class Shutdown {

  private static final System.Logger LOG = System.getLogger(Shutdown.class.getName());

  private Shutdown() {}

  /** Stops a process. */
  interface Stop {
    /** Stops it, and returns when it has stopped. */
    void run() throws InterruptedException;
  }

  /** Waits for SIGTERM or SIGINT and does {@code stop} before the process ends. */
  static void awaitSignal(Stop stop) throws InterruptedException {
    CountDownLatch never = new CountDownLatch(1);
    HangUp.ignore();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> run(stop), "stop"));
    never.await();
  }

  private static void run(Stop stop) {
    try {
      stop.run();
    } catch (InterruptedException e) {
      LOG.log(System.Logger.Level.WARNING, "interrupted while stopping", e);
      Thread.currentThread().interrupt();
    }
  }
}
