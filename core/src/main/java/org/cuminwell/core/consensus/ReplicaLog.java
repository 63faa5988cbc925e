package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Holds the log entries after the snapshot and tracks which of them are durable.
 *
 * <p>Invariants: indexes have no gaps and terms don't decrease; {@code durableIndex} is at most the
 * last index; {@code bytes} is the sum of the entries' sizes. Not thread safe: one thread owns it.
 */
final class ReplicaLog<C, S> {

  /**
   * Records a write under way: the log is durable up to {@code index} once {@code sequence} is
   * synced.
   */
  private record PendingWrite(long sequence, long index) {}

  /** The estimated memory of an entry apart from its command, in bytes. */
  private static final long ENTRY_BYTES = 256;

  /** The estimated memory of a member in an entry, in bytes. */
  private static final long MEMBER_BYTES = 256;

  /** Holds an entry with its estimated memory, in bytes. */
  private record SizedEntry<C>(LogEntry<C> entry, long bytes) {}

  /** Holds a membership with the index of the entry that brought it. */
  private record IndexedMembership(long index, Membership membership) {}

  private final ToLongFunction<C> commandBytes;
  private Optional<Snapshot<S>> snapshot;
  private final ArrayList<SizedEntry<C>> entries = new ArrayList<>();
  private final List<PendingWrite> pendingWrites = new ArrayList<>();
  private final List<IndexedMembership> memberships = new ArrayList<>();
  private long bytes;
  private long durableIndex;

  /** Creates the log from its durable state; {@code commandBytes} estimates a command's memory. */
  ReplicaLog(DurableState<C, S> durableState, ToLongFunction<C> commandBytes) {
    this.commandBytes = commandBytes;
    snapshot = durableState.snapshot();
    addAll(durableState.entries());
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
        : entries.getLast().entry().createdAt();
  }

  /** Returns the newest membership in the log, committed or not. */
  Membership membership() {
    return membershipAt(lastIndex());
  }

  /** Returns the index of the entry that brought the newest membership, or the base index. */
  long membershipIndex() {
    return memberships.isEmpty() ? baseIndex() : memberships.getLast().index();
  }

  /** Returns the membership after the entry at {@code index}, not before the base index. */
  Membership membershipAt(long index) {
    return memberships.reversed().stream()
        .filter(change -> change.index() <= index)
        .map(IndexedMembership::membership)
        .findFirst()
        .or(() -> snapshot.map(Snapshot::membership))
        .orElse(Membership.NONE);
  }

  /** Returns the last index that is durable on this host. */
  long durableIndex() {
    return durableIndex;
  }

  int size() {
    return entries.size();
  }

  /** Returns the estimated memory of the entries, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Returns the estimated memory of the entries after {@code from} up to {@code to}, in bytes. */
  long bytesBetween(long from, long to) {
    long first = Math.max(from, baseIndex());
    return to <= first
        ? 0
        : entries.subList(position(first + 1), position(to) + 1).stream()
            .mapToLong(SizedEntry::bytes)
            .sum();
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
    return entries.get(position(index)).entry();
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

  /** Returns all entries. */
  List<LogEntry<C>> allEntries() {
    return entries.stream().map(SizedEntry::entry).toList();
  }

  /**
   * Returns up to {@code maxCount} entries of up to {@code maxBytes} together, starting at {@code
   * index}; if the first one alone is larger, returns that one.
   */
  List<LogEntry<C>> entriesFrom(long index, int maxCount, long maxBytes) {
    List<LogEntry<C>> result = new ArrayList<>();
    long total = 0;
    for (SizedEntry<C> next : entries.subList(position(index), entries.size())) {
      total += next.bytes();
      if (result.size() == maxCount || (total > maxBytes && !result.isEmpty())) {
        break;
      }
      result.add(next.entry());
    }
    return result;
  }

  /** Appends entries, first removing existing entries from the first new index on. */
  void append(List<LogEntry<C>> newEntries) {
    long first = newEntries.getFirst().index();
    if (first <= lastIndex()) {
      remove(position(first), entries.size());
      durableIndex = Math.min(durableIndex, first - 1);
      pendingWrites.replaceAll(w -> new PendingWrite(w.sequence(), Math.min(w.index(), first - 1)));
    }
    addAll(newEntries);
  }

  /** Drops the entries covered by a snapshot of this log. */
  void compact(Snapshot<S> newSnapshot) {
    remove(0, position(newSnapshot.index() + 1));
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
    remove(0, entries.size());
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

  private void addAll(List<LogEntry<C>> added) {
    for (LogEntry<C> entry : added) {
      SizedEntry<C> sized = new SizedEntry<>(entry, bytesOf(entry));
      entries.add(sized);
      bytes += sized.bytes();
      if (entry.content() instanceof EntryContent.ChangeMembership<C> change) {
        memberships.add(new IndexedMembership(entry.index(), change.membership()));
      }
    }
  }

  /** Removes the entries at the positions from {@code start} to before {@code end}. */
  private void remove(int start, int end) {
    List<SizedEntry<C>> removed = entries.subList(start, end);
    bytes -= removed.stream().mapToLong(SizedEntry::bytes).sum();
    if (!removed.isEmpty()) {
      long first = removed.getFirst().entry().index();
      long last = removed.getLast().entry().index();
      memberships.removeIf(change -> change.index() >= first && change.index() <= last);
    }
    removed.clear();
  }

  private long bytesOf(LogEntry<C> entry) {
    return switch (entry.content()) {
      case EntryContent.Proposed<C> c -> ENTRY_BYTES + commandBytes.applyAsLong(c.command());
      case EntryContent.NoOp<C> c -> ENTRY_BYTES;
      case EntryContent.ChangeMembership<C> c ->
          ENTRY_BYTES + MEMBER_BYTES * c.membership().members().size();
    };
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex() - 1);
  }
}
