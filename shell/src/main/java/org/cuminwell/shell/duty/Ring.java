package org.cuminwell.shell.duty;

import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;

/**
 * A bounded queue that passes elements from producer threads to the thread of a {@link Duty}.
 *
 * <p>{@link #offer} and {@link #offerWithReserve} return at once even if the ring is full, so that
 * the producer can refuse the work; only {@link #put} waits. A consumer that waits for an element
 * is parked and does not spin. Thread safe.
 */
public final class Ring<E> {

  private final ArrayBlockingQueue<E> queue;

  /** Creates a ring for {@code capacity} elements. */
  public Ring(int capacity) {
    queue = new ArrayBlockingQueue<>(capacity);
  }

  /** Adds the element unless the ring is full, and returns whether it was added. */
  public boolean offer(E element) {
    return queue.offer(element);
  }

  /**
   * Adds the element if at least {@code reserve} places stay free, and returns whether it was
   * added.
   *
   * <p>The reserve is for elements that must not be refused. It is checked without a lock, so
   * concurrent producers may each take one place of it.
   */
  public boolean offerWithReserve(int reserve, E element) {
    return queue.remainingCapacity() > reserve && queue.offer(element);
  }

  /**
   * Removes and returns the oldest element, and waits for one if the ring is empty.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public E take() throws InterruptedException {
    return queue.take();
  }

  /** Removes and returns the oldest element; empty if the ring is empty. */
  public Optional<E> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /**
   * Adds the element, and waits while the ring is full; only for producers that may block.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void put(E element) throws InterruptedException {
    queue.put(element);
  }

  /** Returns the number of elements in the ring. */
  public int size() {
    return queue.size();
  }
}
