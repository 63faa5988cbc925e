package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the log entries after the snapshot and tracks which of them are durable.
 *
 * <p>Invariants: indexes have no gaps and terms don't decrease; {@code durableIndex} is at most the
 * last index. Not thread safe: one thread owns it.
 */
final class ReplicaLog<C, S> {

  /**
   * Records a write under way: the log is durable up to {@code index} once {@code sequence} is
   * synced.
   */
  private record PendingWrite(long sequence, long index) {}

  private Optional<Snapshot<S>> snapshot;
  private final ArrayList<LogEntry<C>> entries;
  private final List<PendingWrite> pendingWrites = new ArrayList<>();
  private long durableIndex;

  ReplicaLog(DurableState<C, S> durableState) {
    snapshot = durableState.snapshot();
    entries = new ArrayList<>(durableState.entries());
    durableIndex = lastIndex();
  }

  /** Returns the last index that the snapshot covers, or 0 without a snapshot. */
  long baseIndex() {
    return snapshot.map(Snapshot::index).orElse(0L);
  }

  long lastIndex() {
    return baseIndex() + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the creation time of the last entry. */
  Instant lastCreatedAt() {
    return entries.isEmpty()
        ? snapshot.map(Snapshot::lastEntryCreatedAt).orElse(Instant.EPOCH)
        : entries.getLast().createdAt();
  }

  /** Returns the last index that is durable on this host. */
  long durableIndex() {
    return durableIndex;
  }

  int size() {
    return entries.size();
  }

  Optional<Snapshot<S>> snapshot() {
    return snapshot;
  }

  /**
   * Returns the term of the entry at {@code index}, which must be between the base index and the
   * last index.
   */
  long termAt(long index) {
    if (index == baseIndex()) {
      return snapshot.map(Snapshot::term).orElse(0L);
    }
    return get(index).term();
  }

  LogEntry<C> get(long index) {
    return entries.get(position(index));
  }

  /**
   * Returns whether the log holds the entry with this index and term. Indexes covered by the
   * snapshot always match.
   */
  boolean contains(long index, long term) {
    if (index < baseIndex()) {
      return true;
    }
    return index <= lastIndex() && termAt(index) == term;
  }

  /** Returns up to {@code limit} entries, starting at {@code index}. */
  List<LogEntry<C>> entriesFrom(long index, int limit) {
    int start = position(index);
    return List.copyOf(entries.subList(start, Math.min(entries.size(), start + limit)));
  }

  /** Appends entries, first removing existing entries from the first new index on. */
  void append(List<LogEntry<C>> newEntries) {
    long first = newEntries.getFirst().index();
    if (first <= lastIndex()) {
      entries.subList(position(first), entries.size()).clear();
      durableIndex = Math.min(durableIndex, first - 1);
      pendingWrites.replaceAll(w -> new PendingWrite(w.sequence(), Math.min(w.index(), first - 1)));
    }
    entries.addAll(newEntries);
  }

  /** Drops the entries covered by a snapshot of this log. */
  void compact(Snapshot<S> newSnapshot) {
    entries.subList(0, position(newSnapshot.index() + 1)).clear();
    snapshot = Optional.of(newSnapshot);
  }

  /**
   * Installs a snapshot of another replica. Later entries are kept if the log holds the snapshot's
   * last entry.
   */
  void install(Snapshot<S> received) {
    if (contains(received.index(), received.term())) {
      compact(received);
      return;
    }
    entries.clear();
    snapshot = Optional.of(received);
    durableIndex = 0;
    pendingWrites.clear();
  }

  /** Records a write after which the whole log is durable. */
  void onWriteIssued(long sequence) {
    pendingWrites.add(new PendingWrite(sequence, lastIndex()));
  }

  /** Records that all writes up to the sequence number are durable. */
  void onPersisted(long sequence) {
    while (!pendingWrites.isEmpty() && pendingWrites.getFirst().sequence() <= sequence) {
      durableIndex = Math.max(durableIndex, pendingWrites.removeFirst().index());
    }
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex() - 1);
  }
}
