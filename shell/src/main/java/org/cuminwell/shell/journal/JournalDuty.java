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
 * Writes a journal on a thread of its own, so that no decision waits for a disk.
 *
 * <p>One sync serves all writes that have come meanwhile. While the disk fails nothing is
 * acknowledged, and the writes are made again until it takes them. Thread safe.
 */
public final class JournalDuty implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(JournalDuty.class.getName());
  private static final int RING = 4_096;
  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

  private final Ring<ReplicaAction.Write<Command, StateSnapshot>> writes = new Ring<>(RING);
  private final Journal journal;
  private final LongConsumer synced;
  private final Telemetry telemetry;
  private final Duty<ReplicaAction.Write<Command, StateSnapshot>> duty;

  /**
   * Starts the thread.
   *
   * @param synced learns the sequence number of the last write that is synced; called on the
   *     journal's thread
   */
  public JournalDuty(Journal journal, LongConsumer synced, Telemetry telemetry) {
    this.journal = journal;
    this.synced = synced;
    this.telemetry = telemetry;
    this.duty = Duty.start("journal", writes, this::write);
  }

  /**
   * Takes a write.
   *
   * @throws JournalException if the disk is so far behind that no more can be held
   */
  public void take(ReplicaAction.Write<Command, StateSnapshot> write) {
    if (!writes.offer(write)) {
      throw new JournalException(
          "the disk is " + RING + " writes behind; this host stops; check its disk");
    }
  }

  @Override
  public void close() {
    duty.close();
  }

  private void write(ReplicaAction.Write<Command, StateSnapshot> first) {
    long last = first.sequence();
    boolean failing = !tryWrite(first);
    Optional<ReplicaAction.Write<Command, StateSnapshot>> next = writes.poll();
    while (next.isPresent() || !trySync(failing)) {
      if (next.isPresent()) {
        last = next.get().sequence();
        failing |= !tryWrite(next.get());
      } else {
        failing = true;
        if (!pause()) {
          return;
        }
      }
      next = writes.poll();
    }
    if (failing) {
      LOG.log(System.Logger.Level.INFO, "the disk takes writes again");
    }
    synced.accept(last);
  }

  /** Writes, and returns whether the disk took it; if not, a sync makes the write again. */
  private boolean tryWrite(ReplicaAction.Write<Command, StateSnapshot> write) {
    telemetry.count("journal_writes", 1);
    try {
      journal.write(write);
      return true;
    } catch (JournalException e) {
      failed(e);
      return false;
    }
  }

  private boolean trySync(boolean failing) {
    try {
      journal.sync();
      telemetry.count("journal_syncs", 1);
      return true;
    } catch (JournalException e) {
      if (failing) {
        telemetry.count("journal_failures", 1);
      } else {
        failed(e);
      }
      return false;
    }
  }

  private void failed(JournalException e) {
    telemetry.count("journal_failures", 1);
    LOG.log(
        System.Logger.Level.WARNING,
        e.getMessage() + "; this host acknowledges nothing until the disk takes writes again");
  }

  /** Waits before the next try, and returns whether there is to be one. */
  private static boolean pause() {
    try {
      Thread.sleep(RETRY_PAUSE);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
