package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cuminwell.core.consensus.ConsensusMessage.AppendReply;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.InstallSnapshot;
import org.cuminwell.core.model.HostId;

/**
 * Replicates a leader's entries to its followers and tracks their progress.
 *
 * <p>Entries are pipelined: they are sent before earlier ones are acknowledged, up to a bound in
 * bytes. A follower that misses entries reports where to resume. Not thread safe: its replica owns
 * it.
 */
final class LogReplicator<C, S> {

  private static final int MAX_ENTRIES_PER_REQUEST = 256;

  /** The maximum estimated memory of one request's entries, unless a single one is larger. */
  static final long MAX_REQUEST_BYTES = 1024 * 1024;

  /** The estimated memory of unacknowledged entries above which no more are sent to a follower. */
  static final long MAX_IN_FLIGHT_BYTES = 8 * 1024 * 1024;

  private static final Duration MIN_SNAPSHOT_INTERVAL = Duration.ofSeconds(2);

  private final ReplicaLog<C, S> log;
  private final Outbox<C, S> outbox;
  private Instant nextHeartbeatAt = Instant.MIN;

  LogReplicator(ReplicaLog<C, S> log, Outbox<C, S> outbox) {
    this.log = log;
    this.outbox = outbox;
  }

  /** Sends a heartbeat to every follower if one is due. */
  void sendHeartbeatIfDue(Role.Leader leader, long term, long commit, Instant now) {
    if (!now.isBefore(nextHeartbeatAt)) {
      sendAll(leader, term, commit, now);
    }
  }

  /** Sends each follower the entries that it lacks, or a heartbeat if there are none. */
  void sendAll(Role.Leader leader, long term, long commit, Instant now) {
    nextHeartbeatAt = now.plus(ConsensusTimeouts.HEARTBEAT_INTERVAL);
    leader.followers().forEach((host, progress) -> send(host, progress, term, commit, now));
  }

  /** Updates the follower's progress from its reply, and sends more entries if it is behind. */
  void onReply(
      Role.Leader leader,
      HostId from,
      AppendReply<C, S> reply,
      long term,
      long commit,
      Instant now) {
    FollowerProgress progress = leader.followers().get(from);
    if (progress == null) {
      return;
    }
    progress.onReply(reply, now);
    boolean behind = progress.nextIndex <= log.lastIndex();
    boolean sendable = progress.nextIndex > log.baseIndex() || isSnapshotDue(progress, now);
    if (behind && sendable) {
      send(from, progress, term, commit, now);
    }
  }

  /**
   * Sends entries from the follower's next index on. Where the log no longer holds them, sends the
   * snapshot and a heartbeat.
   */
  private void send(HostId to, FollowerProgress progress, long term, long commit, Instant now) {
    if (progress.nextIndex <= log.baseIndex()) {
      sendSnapshotIfDue(to, progress, term, now);
      sendEntries(to, progress, log.baseIndex(), List.of(), term, commit, now);
      return;
    }
    List<LogEntry<C>> entries =
        isWindowFull(progress)
            ? List.of()
            : log.entriesFrom(progress.nextIndex, MAX_ENTRIES_PER_REQUEST, MAX_REQUEST_BYTES);
    sendEntries(to, progress, progress.nextIndex - 1, entries, term, commit, now);
    progress.nextIndex += entries.size();
  }

  /** Returns whether the follower must acknowledge entries before it gets more. */
  private boolean isWindowFull(FollowerProgress progress) {
    return log.bytesBetween(progress.inFlightAfter(), progress.nextIndex - 1)
        >= MAX_IN_FLIGHT_BYTES;
  }

  private void sendEntries(
      HostId to,
      FollowerProgress progress,
      long previousIndex,
      List<LogEntry<C>> entries,
      long term,
      long commitIndex,
      Instant now) {
    outbox.send(
        to,
        new AppendRequest<>(
            term,
            previousIndex,
            log.termAt(previousIndex),
            entries,
            commitIndex,
            progress.matchIndex,
            now));
  }

  private void sendSnapshotIfDue(HostId to, FollowerProgress progress, long term, Instant now) {
    if (isSnapshotDue(progress, now)) {
      progress.nextSnapshotAt = now.plus(MIN_SNAPSHOT_INTERVAL);
      log.snapshot()
          .ifPresent(snapshot -> outbox.send(to, new InstallSnapshot<>(term, snapshot, now)));
    }
  }

  private static boolean isSnapshotDue(FollowerProgress progress, Instant now) {
    return !now.isBefore(progress.nextSnapshotAt);
  }
}
