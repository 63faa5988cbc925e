package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.jspecify.annotations.Nullable;

/** Simulates a control host in the simulated network. Its disk loses writes that are not synced. */
final class SimulatedHost {

  /** Small, so that a run makes many snapshots. */
  private static final LogLimits LOG_LIMITS = new LogLimits(12, Long.MAX_VALUE);

  final HostId id;
  private static final int PORT = 7600;

  private final SplittableRandom random;
  private final ArrayDeque<ReplicaAction.Write<Command, StateSnapshot>> unsynced =
      new ArrayDeque<>();
  private DurableState<Command, StateSnapshot> disk;

  /** The running process; null while it is down. */
  @Nullable ReplicatedStateMachine stateMachine;

  /** The number of starts, by which events for an earlier process are recognised. */
  int startCount;

  /** The time until which the process is frozen, without noticing it. */
  Instant frozenUntil = Instant.MIN;

  /** The time until which the disk completes no write. */
  Instant stalledUntil = Instant.MIN;

  long lastRevision;

  SimulatedHost(HostId id, HardState fresh, SplittableRandom random) {
    this.id = id;
    this.disk = DurableState.empty(fresh);
    this.random = random;
  }

  void start(Instant now) {
    startCount++;
    lastRevision = 0;
    HostAddress address = new HostAddress(id.value(), PORT);
    stateMachine =
        new ReplicatedStateMachine(
            id, address, disk, random.split(), LOG_LIMITS, command -> command, now);
  }

  /** Crashes the process. A random prefix of the unsynced writes reaches the disk. */
  void crash() {
    stateMachine = null;
    int kept = random.nextInt(unsynced.size() + 1);
    for (int i = 0; i < kept; i++) {
      apply(unsynced.removeFirst());
    }
    unsynced.clear();
  }

  void wipe(HardState fresh) {
    disk = DurableState.empty(fresh);
  }

  boolean isFounding() {
    return disk.hardState().founding().isPresent();
  }

  /** Returns the incarnation of the disk. */
  long incarnation() {
    return disk.hardState().incarnation();
  }

  /** Returns the memberships that the host has on disk or in memory. */
  List<Membership> memberships() {
    List<Membership> all = new ArrayList<>();
    disk.snapshot().map(Snapshot::membership).ifPresent(all::add);
    disk.entries().stream()
        .flatMap(entry -> membershipOf(entry).stream())
        .reduce((earlier, later) -> later)
        .ifPresent(all::add);
    if (stateMachine != null) {
      all.add(stateMachine.membership());
    }
    return all;
  }

  private static Optional<Membership> membershipOf(LogEntry<Command> entry) {
    return entry.content() instanceof EntryContent.ChangeMembership<Command> change
        ? Optional.of(change.membership())
        : Optional.empty();
  }

  void write(ReplicaAction.Write<Command, StateSnapshot> write) {
    unsynced.add(write);
  }

  /** Syncs the writes up to the sequence number. */
  void sync(long sequence) {
    while (!unsynced.isEmpty() && unsynced.getFirst().sequence() <= sequence) {
      apply(unsynced.removeFirst());
    }
  }

  private void apply(ReplicaAction.Write<Command, StateSnapshot> write) {
    disk =
        switch (write) {
          case ReplicaAction.Append<Command, StateSnapshot> a ->
              new DurableState<>(a.hardState(), disk.snapshot(), merged(a.entries()));
          case ReplicaAction.Replace<Command, StateSnapshot> r -> r.durable();
        };
  }

  private List<LogEntry<Command>> merged(List<LogEntry<Command>> newEntries) {
    if (newEntries.isEmpty()) {
      return disk.entries();
    }
    List<LogEntry<Command>> entries = new ArrayList<>(disk.entries());
    entries.removeIf(entry -> entry.index() >= newEntries.getFirst().index());
    entries.addAll(newEntries);
    return entries;
  }
}
