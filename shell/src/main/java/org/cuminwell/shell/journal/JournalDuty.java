package org.cuminwell.shell.journal;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.metrics.Telemetry;

/**
 * Writes to a journal on a dedicated thread, so that the thread that decides doesn't wait for the
 * disk.
 *
 * <p>One sync covers all writes that were queued by then. While the disk fails, no write is
 * acknowledged, and the unsynced writes are retried until they succeed. Thread safe.
 */
public final class JournalDuty implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(JournalDuty.class.getName());
  private static final int RING_CAPACITY = 4_096;
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final Ring<ReplicaAction.Write<Command, StateSnapshot>> writes =
      new Ring<>(RING_CAPACITY);
  private final Journal journal;
  private final LongConsumer onSynced;
  private final Telemetry telemetry;
  private final Duty<ReplicaAction.Write<Command, StateSnapshot>> duty;

  /**
   * Starts the thread.
   *
   * @param onSynced called on the journal's thread after each successful sync, with the sequence
   *     number of the last write that it made durable
   */
  public JournalDuty(Journal journal, LongConsumer onSynced, Telemetry telemetry) {
    this.journal = journal;
    this.onSynced = onSynced;
    this.telemetry = telemetry;
    this.duty = Duty.start("journal", writes, this::writeBatch);
  }

  /**
   * Queues a write. Returns before the write is performed.
   *
   * @throws JournalException if the queue is full, because the disk is too slow or fails
   */
  public void enqueue(ReplicaAction.Write<Command, StateSnapshot> write) {
    if (!writes.offer(write)) {
      throw new JournalException(
          "the journal's queue is full at "
              + RING_CAPACITY
              + " writes; this host stops; check its disk");
    }
  }

  @Override
  public void close() {
    duty.close();
  }

  /**
   * Writes the first write and all that are queued, syncs, and reports the last sequence number. If
   * the disk fails, retries after a delay until it succeeds or the thread is interrupted.
   */
  private void writeBatch(ReplicaAction.Write<Command, StateSnapshot> first) {
    long lastSequence = first.sequence();
    boolean failing = !tryWrite(first);
    Optional<ReplicaAction.Write<Command, StateSnapshot>> next = writes.poll();
    while (next.isPresent() || !trySync(failing)) {
      if (next.isPresent()) {
        lastSequence = next.get().sequence();
        failing |= !tryWrite(next.get());
      } else {
        failing = true;
        if (!awaitRetry()) {
          return;
        }
      }
      next = writes.poll();
    }
    if (failing) {
      LOG.log(System.Logger.Level.INFO, "the disk accepts writes again");
    }
    onSynced.accept(lastSequence);
  }

  /** Writes, and returns whether that succeeded; if not, the next sync repeats the write. */
  private boolean tryWrite(ReplicaAction.Write<Command, StateSnapshot> write) {
    telemetry.count("journal_writes", 1);
    try {
      journal.write(write);
      return true;
    } catch (JournalException e) {
      reportFailure(e);
      return false;
    }
  }

  /**
   * Syncs, and returns whether that succeeded. Counts each failure, but logs it only if the disk
   * was not failing already.
   */
  private boolean trySync(boolean failing) {
    try {
      journal.sync();
      telemetry.count("journal_syncs", 1);
      return true;
    } catch (JournalException e) {
      if (failing) {
        telemetry.count("journal_failures", 1);
      } else {
        reportFailure(e);
      }
      return false;
    }
  }

  private void reportFailure(JournalException e) {
    telemetry.count("journal_failures", 1);
    LOG.log(
        System.Logger.Level.WARNING,
        e.getMessage() + "; this host acknowledges no writes until the disk accepts writes again");
  }

  /** Waits before the next retry, and returns false if the thread was interrupted. */
  private static boolean awaitRetry() {
    try {
      Thread.sleep(RETRY_DELAY);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
