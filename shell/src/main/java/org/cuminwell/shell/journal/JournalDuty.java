package org.cuminwell.shell.journal;

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
 * <p>One sync serves all writes that have come meanwhile. A disk that fails ends the process before
 * anything is acknowledged. Thread safe.
 */
public final class JournalDuty implements AutoCloseable {

  private static final int RING = 4_096;

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
    Optional<ReplicaAction.Write<Command, StateSnapshot>> next = Optional.of(first);
    long last = first.sequence();
    while (next.isPresent()) {
      journal.write(next.get());
      last = next.get().sequence();
      telemetry.count("journal_writes", 1);
      next = writes.poll();
    }
    journal.sync();
    telemetry.count("journal_syncs", 1);
    synced.accept(last);
  }
}
