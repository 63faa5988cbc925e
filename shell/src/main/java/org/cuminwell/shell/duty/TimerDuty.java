package org.cuminwell.shell.duty;

import java.time.Duration;

/** Calls a step again and again after a pause, on a thread of its own. Thread safe. */
public final class TimerDuty implements AutoCloseable {

  private final Thread thread;

  private TimerDuty(Thread thread) {
    this.thread = thread;
  }

  /** Starts calling {@code step}, first after one {@code period}. */
  public static TimerDuty start(String name, Duration period, Runnable step) {
    Thread thread = new Thread(() -> run(period, step), name);
    thread.setDaemon(true);
    thread.start();
    return new TimerDuty(thread);
  }

  @Override
  public void close() {
    thread.interrupt();
  }

  private static void run(Duration period, Runnable step) {
    try {
      while (true) {
        Thread.sleep(period);
        step.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
