package org.cuminwell.shell.duty;

import java.util.function.Consumer;

/**
 * Runs one duty: a thread that takes the elements of a ring one by one and passes each to a
 * handler.
 *
 * <p>Only this thread runs the handler, so the handler's state needs no lock. If the handler
 * throws, the process halts, since that state may be corrupt; a supervisor is expected to restart
 * it. Thread safe.
 */
public final class Duty<E> implements AutoCloseable {

  private final Ring<E> ring;
  private final Consumer<E> handler;
  private final Thread thread;

  private Duty(String name, Ring<E> ring, Consumer<E> handler) {
    this.ring = ring;
    this.handler = handler;
    this.thread = new Thread(this::run, name);
  }

  /** Starts a duty on a new daemon thread of the given name. */
  public static <E> Duty<E> start(String name, Ring<E> ring, Consumer<E> handler) {
    Duty<E> duty = new Duty<>(name, ring, handler);
    duty.thread.setDaemon(true);
    duty.thread.start();
    return duty;
  }

  /** Interrupts the thread, which ends once it handles no element; returns without waiting. */
  @Override
  public void close() {
    thread.interrupt();
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        handler.accept(ring.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      FailedProcess.halt("its duty " + thread.getName() + " failed", e);
    }
  }
}
