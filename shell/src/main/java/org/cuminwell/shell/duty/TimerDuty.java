package org.cuminwell.shell.duty;

import java.time.Duration;

/**
 * Runs a task periodically on a thread of its own, with a fixed pause after each run. A task that
 * throws ends the timer. Thread safe.
 */
public final class TimerDuty implements AutoCloseable {

  private final Thread thread;

  private TimerDuty(Thread thread) {
    this.thread = thread;
  }

  /** Starts a daemon thread that runs the task, first after one period. */
  public static TimerDuty start(String name, Duration period, Runnable task) {
    Thread thread = new Thread(() -> run(period, task), name);
    thread.setDaemon(true);
    thread.start();
    return new TimerDuty(thread);
  }

  /** Interrupts the thread, which ends the timer; returns without waiting. */
  @Override
  public void close() {
    thread.interrupt();
  }

  private static void run(Duration period, Runnable task) {
    try {
      while (true) {
        Thread.sleep(period);
        task.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
