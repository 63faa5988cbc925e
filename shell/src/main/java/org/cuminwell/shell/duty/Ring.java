package org.cuminwell.shell.duty;

import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;

/**
 * Joins two threads by a queue of fixed size.
 *
 * <p>Producers never wait: a full ring answers at once, so that the producer can refuse in turn. A
 * consumer that finds nothing is parked by the queue and does not spin. Thread safe.
 */
public final class Ring<E> {

  private final ArrayBlockingQueue<E> queue;

  /** Makes a ring for {@code capacity} elements. */
  public Ring(int capacity) {
    queue = new ArrayBlockingQueue<>(capacity);
  }

  /** Adds the element if there is room, and returns whether there was. */
  public boolean offer(E element) {
    return queue.offer(element);
  }

  /**
   * Adds the element if that leaves {@code reserve} places, and returns whether it did.
   *
   * <p>The reserve is for elements that must not be refused. It is checked without a lock, so a few
   * producers at once may each take one place of it.
   */
  public boolean offerWithReserve(int reserve, E element) {
    return queue.remainingCapacity() > reserve && queue.offer(element);
  }

  /**
   * Returns the oldest element, waiting for one if need be.
   *
   * @throws InterruptedException if the thread is asked to end
   */
  public E take() throws InterruptedException {
    return queue.take();
  }

  /** Returns the oldest element, or nothing if none waits. */
  public Optional<E> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /**
   * Adds the element, waiting for room if need be; only for producers that may wait.
   *
   * @throws InterruptedException if the thread is asked to end
   */
  public void put(E element) throws InterruptedException {
    queue.put(element);
  }

  /** Returns how many elements wait. */
  public int size() {
    return queue.size();
  }
}
