package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.model.HostId;
import org.jspecify.annotations.Nullable;

/** Simulates a control host in the simulated network. Its disk loses writes that are not synced. */
final class SimulatedHost {

  /** Small, so that a run makes many snapshots. */
  private static final LogLimits LOG_LIMITS = new LogLimits(12, Long.MAX_VALUE);

  final HostId id;
  private final Set<HostId> voters;
  private final SplittableRandom random;
  private final ArrayDeque<ReplicaAction.Write<Command, StateSnapshot>> unsynced =
      new ArrayDeque<>();
  private DurableState<Command, StateSnapshot> disk = DurableState.empty(HardState.founding());

  /** The running process; null while it is down. */
  @Nullable ReplicatedStateMachine stateMachine;

  /** The number of starts, by which events for an earlier process are recognised. */
  int startCount;

  /** The time until which the process is frozen, without noticing it. */
  Instant frozenUntil = Instant.MIN;

  /** The time until which the disk completes no write. */
  Instant stalledUntil = Instant.MIN;

  long lastRevision;

  SimulatedHost(HostId id, Set<HostId> voters, SplittableRandom random) {
    this.id = id;
    this.voters = voters;
    this.random = random;
  }

  void start(Instant now) {
    startCount++;
    lastRevision = 0;
    stateMachine = new ReplicatedStateMachine(id, voters, disk, random.split(), LOG_LIMITS, now);
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

  boolean isLearner() {
    return disk.hardState().votingStatus().learnerIncarnation().isPresent();
  }

  boolean isVoter() {
    return disk.hardState().votingStatus() instanceof VotingStatus.Voter;
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
