package org.cuminwell.shell.duty;

import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * Runs one duty: a thread that takes each element of its ring and handles it.
 *
 * <p>The handler runs on the duty's thread alone, so what it owns needs no lock. A handler that
 * throws ends the process, since its state can't be trusted afterwards; a supervisor starts it
 * anew. Thread safe.
 */
public final class Duty<E> implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(Duty.class.getName());

  /** The exit code of a process whose duty failed. */
  public static final int FAILED_EXIT_CODE = 70;

  private final Ring<E> ring;
  private final Consumer<E> handler;
  private final Thread thread;

  private Duty(String name, Ring<E> ring, Consumer<E> handler) {
    this.ring = ring;
    this.handler = handler;
    this.thread = new Thread(this::run, name);
  }

  /** Starts a duty on a new thread of the given name. */
  public static <E> Duty<E> start(String name, Ring<E> ring, Consumer<E> handler) {
    Duty<E> duty = new Duty<>(name, ring, handler);
    duty.thread.setDaemon(true);
    duty.thread.start();
    return duty;
  }

  /** Asks the thread to end after the element that it is handling. */
  @Override
  public void close() {
    thread.interrupt();
  }

  /** Writes the lines that are still on their way, since nothing runs after a halt. */
  private static void flushLog() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        handler.accept(ring.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "the process ends, since its duty " + thread.getName() + " failed",
          e);
      flushLog();
      Runtime.getRuntime().halt(FAILED_EXIT_CODE);
    }
  }
}
