package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cuminwell.core.consensus.ConsensusMessage.AppendReply;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.InstallSnapshot;
import org.cuminwell.core.model.HostId;

/**
 * Sends a leader's entries and keeps count of what each follower has.
 *
 * <p>Entries are sent ahead of their acknowledgement; a follower that misses some says where to go
 * on. Not thread safe: its replica owns it.
 */
final class LeaderDuties<C, S> {

  private static final int MAX_ENTRIES = 256;
  private static final Duration SNAPSHOT_PAUSE = Duration.ofSeconds(2);

  private final ReplicaLog<C, S> log;
  private final Outbox<C, S> outbox;
  private Instant heartbeatAt = Instant.MIN;

  LeaderDuties(ReplicaLog<C, S> log, Outbox<C, S> outbox) {
    this.log = log;
    this.outbox = outbox;
  }

  /** Shows every follower that the leader lives, if it is time. */
  void heartbeat(Role.Leader leader, long term, long commit, Instant now) {
    if (!now.isBefore(heartbeatAt)) {
      sendAll(leader, term, commit, now);
    }
  }

  /** Sends each follower what it doesn't have yet, or a message without entries. */
  void sendAll(Role.Leader leader, long term, long commit, Instant now) {
    heartbeatAt = now.plus(ConsensusTimes.HEARTBEAT);
    leader.followers().forEach((host, progress) -> send(host, progress, term, commit, now));
  }

  /** Learns from a reply, and sends on if the follower needs more. */
  void acknowledge(
      Role.Leader leader,
      HostId from,
      AppendReply<C, S> reply,
      long term,
      long commit,
      Instant now) {
    Progress progress = leader.followers().get(from);
    if (progress == null) {
      return;
    }
    progress.hear(reply, log.lastIndex());
    boolean behind = progress.next <= log.lastIndex();
    boolean sendable = progress.next > log.baseIndex() || snapshotIsDue(progress, now);
    if (behind && sendable) {
      send(from, progress, term, commit, now);
    }
  }

  private void send(HostId to, Progress progress, long term, long commit, Instant now) {
    if (progress.next <= log.baseIndex()) {
      sendSnapshot(to, progress, term, now);
      sendEntries(to, progress, log.baseIndex(), List.of(), term, commit, now);
      return;
    }
    List<LogEntry<C>> entries = log.from(progress.next, MAX_ENTRIES);
    sendEntries(to, progress, progress.next - 1, entries, term, commit, now);
    progress.next += entries.size();
  }

  private void sendEntries(
      HostId to,
      Progress progress,
      long previous,
      List<LogEntry<C>> entries,
      long term,
      long commitIndex,
      Instant now) {
    outbox.send(
        to,
        new AppendRequest<>(
            term, previous, log.termAt(previous), entries, commitIndex, progress.match, now));
  }

  private void sendSnapshot(HostId to, Progress progress, long term, Instant now) {
    if (snapshotIsDue(progress, now)) {
      progress.snapshotAt = now.plus(SNAPSHOT_PAUSE);
      log.snapshot()
          .ifPresent(snapshot -> outbox.send(to, new InstallSnapshot<>(term, snapshot, now)));
    }
  }

  private static boolean snapshotIsDue(Progress progress, Instant now) {
    return !now.isBefore(progress.snapshotAt);
  }
}
