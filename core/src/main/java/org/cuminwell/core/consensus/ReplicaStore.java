package org.cuminwell.core.consensus;

import java.util.List;
import org.cuminwell.core.consensus.ReplicaAction.Append;
import org.cuminwell.core.consensus.ReplicaAction.Replace;

/**
 * Holds what a replica must remember, and writes each change of it.
 *
 * <p>Invariant: the disk is told of changes in the order in which they were made, and nothing is
 * forgotten here that a write under way still needs. Not thread safe: its replica owns it.
 */
final class ReplicaStore<C, S> {

  private final ReplicaLog<C, S> log;
  private final Outbox<C, S> outbox;
  private HardState hardState;

  ReplicaStore(DurableState<C, S> durable, Outbox<C, S> outbox) {
    this.log = new ReplicaLog<>(durable);
    this.outbox = outbox;
    this.hardState = durable.hardState();
  }

  ReplicaLog<C, S> log() {
    return log;
  }

  HardState hard() {
    return hardState;
  }

  /** Takes on and writes what the host must remember besides its log. */
  void change(HardState next) {
    hardState = next;
    append(List.of());
  }

  /** Writes entries, of which the first may displace others, and what goes with them. */
  void append(HardState next, List<LogEntry<C>> entries) {
    hardState = next;
    append(entries);
  }

  /** Writes entries, of which the first may displace others. */
  void append(List<LogEntry<C>> entries) {
    if (!entries.isEmpty()) {
      log.put(entries);
    }
    long sequence = outbox.nextSequence();
    log.written(sequence);
    outbox.write(new Append<>(sequence, hardState, entries));
  }

  /** Takes a snapshot of another replica. */
  void install(Snapshot<S> received) {
    log.install(received);
    replaceDisk();
  }

  /** Lets a snapshot of this replica's own entries stand for them. */
  void compact(Snapshot<S> made) {
    log.compact(made);
    replaceDisk();
  }

  /** Learns that all writes up to the sequence number are durable. */
  void persisted(long sequence) {
    log.persisted(sequence);
    outbox.persisted(sequence);
  }

  private void replaceDisk() {
    long sequence = outbox.nextSequence();
    log.written(sequence);
    outbox.write(
        new Replace<>(
            sequence,
            new DurableState<>(
                hardState, log.snapshot(), log.from(log.baseIndex() + 1, Integer.MAX_VALUE))));
  }
}
