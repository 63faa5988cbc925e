package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the entries after the snapshot and knows which of them are durable.
 *
 * <p>Invariants: indexes have no gap and terms don't go down; {@code durable} is at most the last
 * index. Not thread safe: one thread owns it.
 */
final class ReplicaLog<C, S> {

  /** Says that the log up to {@code index} is durable once {@code sequence} is. */
  private record PendingWrite(long sequence, long index) {}

  private Optional<Snapshot<S>> snapshot;
  private final ArrayList<LogEntry<C>> entries;
  private final List<PendingWrite> pending = new ArrayList<>();
  private long durable;

  ReplicaLog(DurableState<C, S> from) {
    snapshot = from.snapshot();
    entries = new ArrayList<>(from.entries());
    durable = lastIndex();
  }

  /** Returns the last index that the snapshot stands for, 0 if there is none. */
  long baseIndex() {
    return snapshot.map(Snapshot::index).orElse(0L);
  }

  long lastIndex() {
    return baseIndex() + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the time of the last entry. */
  Instant lastTime() {
    return entries.isEmpty()
        ? snapshot.map(Snapshot::lastEntryCreatedAt).orElse(Instant.EPOCH)
        : entries.getLast().createdAt();
  }

  /** Returns the last index that is on this host's disk. */
  long durableIndex() {
    return durable;
  }

  int size() {
    return entries.size();
  }

  Optional<Snapshot<S>> snapshot() {
    return snapshot;
  }

  /** Returns the term of an entry; {@code index} is from the base to the last index. */
  long termAt(long index) {
    if (index == baseIndex()) {
      return snapshot.map(Snapshot::term).orElse(0L);
    }
    return get(index).term();
  }

  LogEntry<C> get(long index) {
    return entries.get(position(index));
  }

  /** Returns whether the log holds this very entry or has it in the snapshot. */
  boolean holds(long index, long term) {
    if (index < baseIndex()) {
      return true;
    }
    return index <= lastIndex() && termAt(index) == term;
  }

  /** Returns up to {@code limit} entries from {@code index} on. */
  List<LogEntry<C>> from(long index, int limit) {
    int start = position(index);
    return List.copyOf(entries.subList(start, Math.min(entries.size(), start + limit)));
  }

  /** Adds entries, of which the first may displace others. */
  void put(List<LogEntry<C>> news) {
    long first = news.getFirst().index();
    if (first <= lastIndex()) {
      entries.subList(position(first), entries.size()).clear();
      durable = Math.min(durable, first - 1);
      pending.replaceAll(w -> new PendingWrite(w.sequence(), Math.min(w.index(), first - 1)));
    }
    entries.addAll(news);
  }

  /** Lets a snapshot of this log's own entries stand for them. */
  void compact(Snapshot<S> made) {
    entries.subList(0, position(made.index() + 1)).clear();
    snapshot = Optional.of(made);
  }

  /** Takes a snapshot of another replica, and keeps what follows it if that is known to fit. */
  void install(Snapshot<S> received) {
    if (holds(received.index(), received.term())) {
      compact(received);
      return;
    }
    entries.clear();
    snapshot = Optional.of(received);
    durable = 0;
    pending.clear();
  }

  /** Remembers that the whole log is durable once the write is. */
  void written(long sequence) {
    pending.add(new PendingWrite(sequence, lastIndex()));
  }

  /** Learns that all writes up to the sequence number are durable. */
  void persisted(long sequence) {
    while (!pending.isEmpty() && pending.getFirst().sequence() <= sequence) {
      durable = Math.max(durable, pending.removeFirst().index());
    }
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex() - 1);
  }
}
