package org.cuminwell.core.consensus;

import java.util.List;
import java.util.function.ToLongFunction;
import org.cuminwell.core.consensus.ReplicaAction.Append;
import org.cuminwell.core.consensus.ReplicaAction.Replace;

/**
 * Holds a replica's log and hard state in memory, and writes every change to disk.
 *
 * <p>Invariant: writes are issued in the order of the changes. Not thread safe: its replica owns
 * it.
 */
final class ReplicaStore<C, S> {

  private final ReplicaLog<C, S> log;
  private final Outbox<C, S> outbox;
  private HardState hardState;

  ReplicaStore(DurableState<C, S> durable, ToLongFunction<C> commandBytes, Outbox<C, S> outbox) {
    this.log = new ReplicaLog<>(durable, commandBytes);
    this.outbox = outbox;
    this.hardState = durable.hardState();
  }

  ReplicaLog<C, S> log() {
    return log;
  }

  HardState hardState() {
    return hardState;
  }

  /** Replaces and persists the hard state. */
  void replaceHardState(HardState next) {
    hardState = next;
    append(List.of());
  }

  /**
   * Persists entries together with a new hard state. Existing entries from the first new index on
   * are removed.
   */
  void append(HardState next, List<LogEntry<C>> entries) {
    hardState = next;
    append(entries);
  }

  /** Persists entries. Existing entries from the first new index on are removed. */
  void append(List<LogEntry<C>> entries) {
    if (!entries.isEmpty()) {
      log.append(entries);
    }
    long sequence = outbox.nextSequence();
    log.onWriteIssued(sequence);
    outbox.write(new Append<>(sequence, hardState, entries));
  }

  /** Installs a snapshot of another replica. */
  void install(Snapshot<S> received) {
    log.install(received);
    replaceDurableState();
  }

  /** Replaces this replica's own entries with a snapshot of them. */
  void compact(Snapshot<S> newSnapshot) {
    log.compact(newSnapshot);
    replaceDurableState();
  }

  /** Records that all writes up to the sequence number are durable. */
  void onPersisted(long sequence) {
    log.onPersisted(sequence);
    outbox.onPersisted(sequence);
  }

  private void replaceDurableState() {
    long sequence = outbox.nextSequence();
    log.onWriteIssued(sequence);
    outbox.write(
        new Replace<>(sequence, new DurableState<>(hardState, log.snapshot(), log.allEntries())));
  }
}
