package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.cuminwell.core.consensus.ConsensusMessage.AppendReply;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.InstallSnapshot;
import org.cuminwell.core.consensus.ConsensusMessage.JoinRequest;
import org.cuminwell.core.consensus.ConsensusMessage.VoteReply;
import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.consensus.ReplicaAction.ProposalAppended;
import org.cuminwell.core.consensus.ReplicaAction.ProposalRejected;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Implements one host's replica of the Raft consensus algorithm, with pre-votes and a leader lease.
 *
 * <p>Invariants: the term never decreases; a host votes at most once a term; a committed entry is
 * never replaced; entries are applied in order, once, and only after they are committed; nothing is
 * promised to another host before it is durable here. A host that is not a voter neither grants
 * votes nor counts towards a quorum. Not thread safe: one thread owns it.
 *
 * @param <C> the type of commands
 * @param <S> the type of the replicated state in snapshots
 */
public final class Replica<C, S> {

  private final HostId self;
  private final Set<HostId> others;
  private final SplittableRandom random;
  private final Outbox<C, S> outbox = new Outbox<>();
  private final ReplicaStore<C, S> store;
  private final ReplicaLog<C, S> log;
  private final CommitProgress<C, S> commits;
  private final LogReplicator<C, S> replicator;

  private Role role = new Role.Follower(Optional.empty());
  private Instant leaderMessageAt;
  private Instant electionDueAt;
  private Instant nextJoinRequestAt;

  /**
   * Creates a replica from its durable state.
   *
   * @param voters every host that may vote, including this one
   * @param commandBytes estimates the memory of a command, in bytes
   * @param random the source of election timeouts and incarnations
   */
  public Replica(
      HostId self,
      Set<HostId> voters,
      DurableState<C, S> durable,
      ToLongFunction<C> commandBytes,
      SplittableRandom random,
      Instant now) {
    this.self = self;
    this.others = new TreeSet<>(voters);
    this.others.remove(self);
    this.random = random;
    this.store = new ReplicaStore<>(durable, commandBytes, outbox);
    this.log = store.log();
    this.commits = new CommitProgress<>(self, store, outbox);
    this.replicator = new LogReplicator<>(log, outbox);
    // The leader that this host followed before a restart may still hold its lease.
    this.leaderMessageAt = now;
    this.electionDueAt = now.plus(electionTimeout());
    this.nextJoinRequestAt = now;
  }

  /** Handles an event and returns the resulting actions in order. */
  public List<ReplicaAction<C, S>> handle(ReplicaEvent<C, S> event, Instant now) {
    expireLease(now);
    switch (event) {
      case ReplicaEvent.Ticked<C, S> e -> onTick(now);
      case ReplicaEvent.MessageReceived<C, S> e -> onMessage(e.from(), e.message(), now);
      case ReplicaEvent.Persisted<C, S> e -> onPersisted(e.sequence(), now);
      case ReplicaEvent.Propose<C, S> e -> onPropose(e.id(), e.command(), now);
      case ReplicaEvent.Compact<C, S> e -> commits.compact(e.state());
    }
    commits.applyCommitted();
    return outbox.drain();
  }

  /** Returns the latest term seen. A leader's term serves as a fencing number. */
  public long term() {
    return hardState().term();
  }

  /** Returns whether this host leads and its lease is valid. */
  public boolean leads(Instant now) {
    return role instanceof Role.Leader leader && leaseHolds(leader, now);
  }

  /**
   * Returns the leader, if this host knows one. If this host itself leads, its lease must be valid.
   */
  public Optional<HostId> leader(Instant now) {
    return switch (role) {
      case Role.Leader l -> leaseHolds(l, now) ? Optional.of(self) : Optional.empty();
      case Role.Follower f -> f.leader();
      case Role.Candidate c -> Optional.empty();
    };
  }

  /**
   * Returns the send time of this leader's latest message acknowledged by a quorum. Empty if this
   * host does not lead, or has not yet committed an entry of its own term and so may not know
   * everything that earlier leaders committed.
   */
  public Optional<Instant> confirmedAt(Instant now) {
    return role instanceof Role.Leader leader
            && log.termAt(commits.commitIndex()) == hardState().term()
        ? Optional.of(leader.lastQuorumAcknowledgedSendTime(now, quorum()))
        : Optional.empty();
  }

  /** Returns whether this host may vote. */
  public VotingStatus votingStatus() {
    return hardState().votingStatus();
  }

  /** Returns the index of the last entry known to be committed. */
  public long commitIndex() {
    return commits.commitIndex();
  }

  /** Returns the index of the last applied entry. */
  public long appliedIndex() {
    return commits.appliedIndex();
  }

  /** Returns whether the log entries after the snapshot exceed a limit. */
  public boolean exceeds(LogLimits limits) {
    return limits.areExceededBy(log.size(), log.bytes());
  }

  /** Returns the estimated memory of the log entries after the snapshot, in bytes. */
  public long logBytes() {
    return log.bytes();
  }

  private void onTick(Instant now) {
    boolean isStalled = outbox.isStalled(now);
    if (isStalled && role instanceof Role.Leader) {
      resign(now);
    }
    switch (role) {
      case Role.Leader leader ->
          replicator.sendHeartbeatIfDue(leader, hardState().term(), commits.commitIndex(), now);
      case Role.Follower f -> onTickAsNonLeader(now);
      case Role.Candidate c -> onTickAsNonLeader(now);
    }
  }

  private void onTickAsNonLeader(Instant now) {
    if (hardState().votingStatus() instanceof VotingStatus.Learner learner) {
      requestJoinIfDue(learner, now);
    } else if (!now.isBefore(electionDueAt)) {
      startElection(true, now);
    }
  }

  /** Asks the leader to admit this learner as a voter. */
  private void requestJoinIfDue(VotingStatus.Learner learner, Instant now) {
    if (role instanceof Role.Follower follower
        && follower.leader().isPresent()
        && !now.isBefore(nextJoinRequestAt)) {
      nextJoinRequestAt = now.plus(ConsensusTimeouts.JOIN_REQUEST_INTERVAL);
      outbox.sendWhenDurable(
          follower.leader().get(), new JoinRequest<>(hardState().term(), learner.incarnation()));
    }
  }

  private void onMessage(HostId from, ConsensusMessage<C, S> message, Instant now) {
    if (!others.contains(from)) {
      return;
    }
    switch (message) {
      case VoteRequest<C, S> m -> onVoteRequest(from, m, now);
      case VoteReply<C, S> m -> onVoteReply(from, m, now);
      case AppendRequest<C, S> m -> onAppendRequest(from, m, now);
      case InstallSnapshot<C, S> m -> onInstallSnapshot(from, m, now);
      case AppendReply<C, S> m -> onAppendReply(from, m, now);
      case JoinRequest<C, S> m -> onJoinRequest(from, m, now);
    }
  }

  // Elections.

  /** Starts a pre-vote, or the election proper in a new term. */
  private void startElection(boolean preVote, Instant now) {
    electionDueAt = now.plus(electionTimeout());
    if (!preVote) {
      store.replaceHardState(hardState().inTerm(hardState().term() + 1).votingFor(self));
    }
    Role.Candidate candidate = Role.Candidate.starting(preVote, self, now);
    role = candidate;
    VoteRequest<C, S> request =
        new VoteRequest<>(
            preVote ? hardState().term() + 1 : hardState().term(),
            preVote,
            hardState().votingStatus() instanceof VotingStatus.Founding,
            log.lastIndex(),
            log.lastTerm());
    others.forEach(host -> outbox.sendWhenDurable(host, request));
    advanceElectionIfWon(candidate, now);
  }

  /**
   * Grants the vote only if no message of a leader was received recently and the candidate is
   * eligible.
   */
  private void onVoteRequest(HostId from, VoteRequest<C, S> request, Instant now) {
    boolean isLeaderSilent = !now.isBefore(leaderMessageAt.plus(ConsensusTimeouts.VOTE_HOLD_OFF));
    boolean wouldElect =
        isLeaderSilent
            && !(role instanceof Role.Leader)
            && VoteRules.mayVoteFor(hardState().votingStatus(), log, from, request);
    if (request.preVote()) {
      boolean granted = wouldElect && request.term() > hardState().term();
      replyToVote(from, request, granted);
      return;
    }
    if (!isLeaderSilent || role instanceof Role.Leader) {
      replyToVote(from, request, false);
      return;
    }
    adoptTerm(request.term());
    boolean granted =
        wouldElect
            && request.term() == hardState().term()
            && hardState().votedFor().map(from::equals).orElse(true);
    if (granted) {
      electionDueAt = now.plus(electionTimeout());
      store.replaceHardState(hardState().votingFor(from));
    }
    replyToVote(from, request, granted);
  }

  private void replyToVote(HostId from, VoteRequest<C, S> request, boolean granted) {
    outbox.sendWhenDurable(
        from,
        new VoteReply<>(granted ? request.term() : hardState().term(), request.preVote(), granted));
  }

  private void onVoteReply(HostId from, VoteReply<C, S> reply, Instant now) {
    if (!reply.granted()) {
      adoptTerm(reply.term());
      return;
    }
    if (role instanceof Role.Candidate candidate
        && candidate.preVote() == reply.preVote()
        && reply.term() == (reply.preVote() ? hardState().term() + 1 : hardState().term())) {
      candidate.votesFrom().add(from);
      advanceElectionIfWon(candidate, now);
    }
  }

  /**
   * Goes from a won pre-vote to the election, and from a won election to leadership. Waits for
   * durable writes before leading.
   */
  private void advanceElectionIfWon(Role.Candidate candidate, Instant now) {
    int needed = VoteRules.votesNeeded(hardState().votingStatus(), others.size() + 1);
    if (candidate.votesFrom().size() < needed) {
      return;
    }
    if (candidate.preVote()) {
      startElection(false, now);
    } else if (outbox.isDurable()) {
      becomeLeader(candidate.startedAt(), now);
    }
  }

  private void becomeLeader(Instant electionStartedAt, Instant now) {
    role = Role.Leader.of(others, log.lastIndex() + 1, electionStartedAt);
    appendAsLeader(hardState().with(new VotingStatus.Voter()), new EntryContent.NoOp<>(), now);
  }

  /** Adopts a later term, stepping down if this host leads or is a candidate. */
  private void adoptTerm(long term) {
    if (term > hardState().term()) {
      role = new Role.Follower(Optional.empty());
      store.replaceHardState(hardState().inTerm(term));
    }
  }

  // Followers.

  private void onAppendRequest(HostId from, AppendRequest<C, S> request, Instant now) {
    if (!followIfCurrent(from, request.term(), request.sentAt(), now)) {
      return;
    }
    if (log.lastIndex() < request.acknowledgedIndex()) {
      becomeLearner();
    }
    if (!log.contains(request.previousIndex(), request.previousTerm())) {
      long retryIndex = Math.min(log.lastIndex(), request.previousIndex() - 1);
      reply(from, false, Math.max(retryIndex, commits.commitIndex()), request.sentAt());
      return;
    }
    List<LogEntry<C>> newEntries =
        request.entries().stream()
            .dropWhile(entry -> log.contains(entry.index(), entry.term()))
            .toList();
    if (!newEntries.isEmpty()) {
      if (newEntries.getFirst().index() <= commits.commitIndex()) {
        throw new IllegalStateException(
            "leader " + from + " replaces committed entry " + newEntries.getFirst().index());
      }
      store.append(newEntries);
    }
    long matchIndex = request.previousIndex() + request.entries().size();
    commits.advanceCommitIndex(Math.min(request.commitIndex(), matchIndex));
    reply(from, true, matchIndex, request.sentAt());
  }

  private void onInstallSnapshot(HostId from, InstallSnapshot<C, S> request, Instant now) {
    if (!followIfCurrent(from, request.term(), request.sentAt(), now)) {
      return;
    }
    commits.install(request.snapshot());
    reply(from, true, request.snapshot().index(), request.sentAt());
  }

  /** Follows the sender unless its term is outdated, and returns whether it does. */
  private boolean followIfCurrent(HostId from, long term, Instant sentAt, Instant now) {
    if (term < hardState().term()) {
      reply(from, false, commits.commitIndex(), sentAt);
      return false;
    }
    adoptTerm(term);
    role = new Role.Follower(Optional.of(from));
    leaderMessageAt = now;
    electionDueAt = now.plus(electionTimeout());
    if (hardState().votingStatus() instanceof VotingStatus.Founding founding) {
      if (founding.votedFor().contains(from)) {
        store.replaceHardState(hardState().with(new VotingStatus.Voter()));
      } else {
        becomeLearner();
      }
    }
    return true;
  }

  /** Stops voting under a newly drawn incarnation. */
  private void becomeLearner() {
    if (hardState().votingStatus().learnerIncarnation().isEmpty()) {
      store.replaceHardState(hardState().with(new VotingStatus.Learner(random.nextLong())));
    }
  }

  private void reply(HostId to, boolean matched, long index, Instant sentAt) {
    outbox.sendWhenDurable(
        to,
        new AppendReply<>(
            hardState().term(),
            matched,
            index,
            hardState().votingStatus().learnerIncarnation(),
            sentAt));
  }

  // Leadership.

  private void onAppendReply(HostId from, AppendReply<C, S> reply, Instant now) {
    adoptTerm(reply.term());
    if (role instanceof Role.Leader leader && reply.term() == hardState().term()) {
      replicator.onReply(leader, from, reply, hardState().term(), commits.commitIndex(), now);
      advanceCommit(leader, now);
    }
  }

  /** Stops counting the sender as a voter and appends the entry that will admit it. */
  private void onJoinRequest(HostId from, JoinRequest<C, S> request, Instant now) {
    if (role instanceof Role.Leader leader) {
      FollowerProgress follower = leader.followers().get(from);
      if (follower != null && follower.admitIndex <= commits.commitIndex()) {
        follower.markLearner(OptionalLong.of(request.incarnation()), log.lastIndex());
        follower.admitIndex = log.lastIndex() + 1;
        appendAsLeader(new EntryContent.Admit<>(from, request.incarnation()), now);
      }
    }
  }

  private void onPropose(RequestId id, C command, Instant now) {
    if (role instanceof Role.Leader) {
      outbox.add(new ProposalAppended<>(id, log.lastIndex() + 1, hardState().term()));
      appendAsLeader(new EntryContent.Proposed<>(command), now);
    } else {
      outbox.add(new ProposalRejected<>(id));
    }
  }

  private void appendAsLeader(EntryContent<C> content, Instant now) {
    appendAsLeader(hardState(), content, now);
  }

  /** Appends an entry of this leader. Creation times never decrease along the log. */
  private void appendAsLeader(HardState hardState, EntryContent<C> content, Instant now) {
    Instant at = Instant.ofEpochMilli(now.toEpochMilli());
    Instant last = log.lastCreatedAt();
    Instant createdAt = at.isBefore(last) ? last : at;
    store.append(
        hardState,
        List.of(new LogEntry<>(log.lastIndex() + 1, hardState.term(), createdAt, content)));
    if (role instanceof Role.Leader leader) {
      sendAll(leader, now);
    }
  }

  /** Commits up to the highest index on a quorum, if that entry is of the current term. */
  private void advanceCommit(Role.Leader leader, Instant now) {
    long index = leader.quorumMatchIndex(log.durableIndex(), quorum());
    if (index > commits.commitIndex() && log.termAt(index) == hardState().term()) {
      commits.advanceCommitIndex(index);
      sendAll(leader, now);
    }
  }

  private void expireLease(Instant now) {
    if (role instanceof Role.Leader leader && !leaseHolds(leader, now)) {
      resign(now);
    }
  }

  /** Gives up leadership without a new term. */
  private void resign(Instant now) {
    role = new Role.Follower(Optional.empty());
    electionDueAt = now.plus(electionTimeout());
  }

  private boolean leaseHolds(Role.Leader leader, Instant now) {
    return now.isBefore(
        leader.lastQuorumAcknowledgedSendTime(now, quorum()).plus(ConsensusTimeouts.LEADER_LEASE));
  }

  private void sendAll(Role.Leader leader, Instant now) {
    replicator.sendAll(leader, hardState().term(), commits.commitIndex(), now);
  }

  private void onPersisted(long sequence, Instant now) {
    store.onPersisted(sequence);
    switch (role) {
      case Role.Leader leader -> advanceCommit(leader, now);
      case Role.Candidate candidate -> advanceElectionIfWon(candidate, now);
      case Role.Follower f -> {}
    }
  }

  private HardState hardState() {
    return store.hardState();
  }

  private int quorum() {
    return VoteRules.quorum(others.size() + 1);
  }

  private Duration electionTimeout() {
    return ConsensusTimeouts.MIN_ELECTION_TIMEOUT.plusMillis(
        random.nextLong(ConsensusTimeouts.MAX_ELECTION_JITTER.toMillis()));
  }
}
