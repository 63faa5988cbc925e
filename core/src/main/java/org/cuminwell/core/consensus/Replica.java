package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
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
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Implements one host's replica of the Raft consensus algorithm, with pre-votes and a leader lease.
 *
 * <p>Invariants: the term never decreases; a host votes at most once a term; a committed entry is
 * never replaced; entries are applied in order, once, and only after they are committed; nothing is
 * promised to another host before it is durable here. Who votes is read from the log and its
 * snapshot alone; votes and acknowledgements count by member, so that those of a lost disk don't.
 * Not thread safe: one thread owns it.
 *
 * @param <C> the type of commands
 * @param <S> the type of the replicated state in snapshots
 */
public final class Replica<C, S> {

  private final LocalMember<C, S> local;
  private final Set<HostId> contacts = new TreeSet<>();
  private final SplittableRandom random;
  private final Outbox<C, S> outbox = new Outbox<>();
  private final ReplicaStore<C, S> store;
  private final ReplicaLog<C, S> log;
  private final CommitProgress<C, S> commits;
  private final LogReplicator<C, S> replicator;
  private final MembershipChanges changes;

  private final Elections<C, S> elections;
  private Instant nextJoinRequestAt;

  /**
   * Creates a replica from its durable state.
   *
   * @param address where other control hosts reach this one
   * @param commandBytes estimates the memory of a command, in bytes
   * @param random the source of election timeouts and incarnations
   */
  public Replica(
      HostId self,
      HostAddress address,
      DurableState<C, S> durable,
      ToLongFunction<C> commandBytes,
      SplittableRandom random,
      Instant now) {
    this.random = random;
    this.store = new ReplicaStore<>(durable, commandBytes, outbox);
    this.local = new LocalMember<>(self, address, store);
    this.log = store.log();
    this.commits = new CommitProgress<>(store, outbox);
    this.replicator = new LogReplicator<>(log, outbox);
    this.changes = new MembershipChanges(self);
    this.elections = new Elections<>(local, store, outbox, random, now);
    this.nextJoinRequestAt = now;
  }

  /** Handles an event and returns the resulting actions in order. */
  public List<ReplicaAction<C, S>> handle(ReplicaEvent<C, S> event, Instant now) {
    expireLease(now);
    switch (event) {
      case ReplicaEvent.Ticked<C, S> e -> onTick(now);
      case ReplicaEvent.MessageReceived<C, S> e -> onMessage(e.from(), e.message(), now);
      case ReplicaEvent.ContactFound<C, S> e -> contacts.add(e.host());
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
    return elections.role() instanceof Role.Leader leader && leaseHolds(leader, now);
  }

  /** Returns when this host's lease as the leader ends; empty if it doesn't lead. */
  public Optional<Instant> leaseUntil(Instant now) {
    return elections.role() instanceof Role.Leader leader && leaseHolds(leader, now)
        ? Optional.of(
            lastQuorumAcknowledgedSendTime(leader, now).plus(ConsensusTimeouts.LEADER_LEASE))
        : Optional.empty();
  }

  /**
   * Returns the leader, if this host knows one. If this host itself leads, its lease must be valid.
   */
  public Optional<HostId> leader(Instant now) {
    return switch (elections.role()) {
      case Role.Leader l -> leaseHolds(l, now) ? Optional.of(local.host()) : Optional.empty();
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
    return elections.role() instanceof Role.Leader leader
            && log.termAt(commits.commitIndex()) == hardState().term()
        ? Optional.of(lastQuorumAcknowledgedSendTime(leader, now))
        : Optional.empty();
  }

  /** Returns whether this host votes, as far as its log tells. */
  public VotingStatus votingStatus() {
    if (hardState().founding().isPresent()) {
      return new VotingStatus.Founding();
    }
    return local.isVoter() ? new VotingStatus.Voter() : new VotingStatus.Learner();
  }

  /** Returns who votes, by the newest entry of this host's log. */
  public Membership membership() {
    return log.membership();
  }

  /**
   * Returns the hosts that this leader sends the log to and that don't vote; empty if it follows.
   */
  public List<HostId> learners() {
    return elections.role() instanceof Role.Leader leader
        ? changes.learners(leader, log.membership())
        : List.of();
  }

  /** Returns the voters that this leader has not heard for a while; empty if it follows. */
  public List<HostId> silentVoters(Instant now) {
    return elections.role() instanceof Role.Leader leader
        ? changes.silentVoters(leader, log.membership(), now)
        : List.of();
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
    if (isStalled && elections.role() instanceof Role.Leader) {
      elections.resign(now);
    }
    switch (elections.role()) {
      case Role.Leader leader -> {
        replicator.sendHeartbeatIfDue(leader, hardState().term(), commits.commitIndex(), now);
        changeMembershipIfDue(leader, now);
      }
      case Role.Follower f -> onTickAsNonLeader(now);
      case Role.Candidate c -> onTickAsNonLeader(now);
    }
  }

  private void onTickAsNonLeader(Instant now) {
    if (!local.isVoter() || hasNoLeader()) {
      requestJoinIfDue(now);
    }
    elections.startIfDue(now).ifPresent(candidate -> becomeLeader(candidate, now));
  }

  private boolean hasNoLeader() {
    return !(elections.role() instanceof Role.Follower follower && follower.leader().isPresent());
  }

  /** Asks every known control host to join, since the leader may not send to this one. */
  private void requestJoinIfDue(Instant now) {
    if (!now.isBefore(nextJoinRequestAt)) {
      nextJoinRequestAt = now.plus(ConsensusTimeouts.JOIN_REQUEST_INTERVAL);
      JoinRequest<C, S> request = new JoinRequest<>(hardState().term(), local.member());
      Set<HostId> receivers = local.memberHosts();
      receivers.addAll(contacts);
      receivers.remove(local.host());
      receivers.forEach(host -> outbox.sendWhenDurable(host, request));
    }
  }

  private void onMessage(HostId from, ConsensusMessage<C, S> message, Instant now) {
    switch (message) {
      case VoteRequest<C, S> m -> elections.onVoteRequest(from, m, now);
      case VoteReply<C, S> m -> onVoteReply(from, m, now);
      case AppendRequest<C, S> m -> onAppendRequest(from, m, now);
      case InstallSnapshot<C, S> m -> onInstallSnapshot(from, m, now);
      case AppendReply<C, S> m -> onAppendReply(from, m, now);
      case JoinRequest<C, S> m -> onJoinRequest(from, m, now);
    }
  }

  private void onVoteReply(HostId from, VoteReply<C, S> reply, Instant now) {
    elections.onVoteReply(from, reply, now).ifPresent(candidate -> becomeLeader(candidate, now));
  }

  /**
   * Starts the term with an entry of its own: the first membership after the founding, else an
   * empty one.
   */
  private void becomeLeader(Role.Candidate candidate, Instant now) {
    Role.Leader leader = new Role.Leader(new TreeMap<>(), candidate.startedAt());
    boolean isFounding = hardState().founding().isPresent();
    Membership membership =
        isFounding
            ? Membership.of(new TreeSet<>(candidate.votesFrom().values()))
            : log.membership();
    membership.members().stream()
        .map(Member::host)
        .filter(host -> !host.equals(local.host()))
        .forEach(host -> addFollower(leader, membership.memberAt(host).orElseThrow(), now));
    elections.lead(leader);
    appendAsLeader(
        hardState().founded(),
        isFounding ? new EntryContent.ChangeMembership<>(membership) : new EntryContent.NoOp<>(),
        now);
  }

  private FollowerProgress addFollower(Role.Leader leader, Member member, Instant now) {
    return leader
        .followers()
        .computeIfAbsent(
            member.host(),
            host -> new FollowerProgress(log.lastIndex() + 1, member.incarnation(), now));
  }

  // Followers.

  private void onAppendRequest(HostId from, AppendRequest<C, S> request, Instant now) {
    if (!followIfCurrent(from, request.term(), request.sentAt(), now)) {
      return;
    }
    if (local.isVoter() && log.lastIndex() < request.acknowledgedIndex()) {
      store.replaceHardState(hardState().withIncarnation(newIncarnation()));
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
      stopFoundingIfFounded();
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
    stopFoundingIfFounded();
    reply(from, true, request.snapshot().index(), request.sentAt());
  }

  /** Follows the sender unless its term is outdated, and returns whether it does. */
  private boolean followIfCurrent(HostId from, long term, Instant sentAt, Instant now) {
    if (term < hardState().term()) {
      reply(from, false, commits.commitIndex(), sentAt);
      return false;
    }
    elections.adoptTerm(term);
    elections.follow(from, now);
    return true;
  }

  /** Stops founding once the log tells who votes. Until then this host may have to found again. */
  private void stopFoundingIfFounded() {
    if (hardState().founding().isPresent() && !log.membership().voters().isEmpty()) {
      store.replaceHardState(hardState().founded());
    }
  }

  private void reply(HostId to, boolean matched, long index, Instant sentAt) {
    outbox.sendWhenDurable(
        to,
        new AppendReply<>(hardState().term(), matched, index, hardState().incarnation(), sentAt));
  }

  // Leadership.

  private void onAppendReply(HostId from, AppendReply<C, S> reply, Instant now) {
    elections.adoptTerm(reply.term());
    if (elections.role() instanceof Role.Leader leader && reply.term() == hardState().term()) {
      replicator.onReply(leader, from, reply, hardState().term(), commits.commitIndex(), now);
      advanceCommit(leader, now);
    }
  }

  /** Sends the log to the member from now on; it becomes a voter once it has caught up. */
  private void onJoinRequest(HostId from, JoinRequest<C, S> request, Instant now) {
    if (elections.role() instanceof Role.Leader leader && request.member().host().equals(from)) {
      addFollower(leader, request.member(), now).onJoinRequest(request.member(), now);
    }
  }

  /**
   * Takes the next step of a change of voters, or starts one; resigns if the last change left this
   * leader out. Each needs an entry of its own term to be committed, and the change before it.
   */
  private void changeMembershipIfDue(Role.Leader leader, Instant now) {
    boolean mayChange =
        log.membershipIndex() <= commits.commitIndex()
            && log.termAt(commits.commitIndex()) == hardState().term();
    if (mayChange && !local.isVoter()) {
      elections.resign(now);
    } else if (mayChange) {
      changes.forgetLearners(leader, log.membership(), now);
      changes
          .next(leader, log.membership(), commits.commitIndex(), now)
          .ifPresent(next -> appendAsLeader(new EntryContent.ChangeMembership<>(next), now));
    }
  }

  private void onPropose(RequestId id, C command, Instant now) {
    if (elections.role() instanceof Role.Leader) {
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
    if (elections.role() instanceof Role.Leader leader) {
      sendAll(leader, now);
    }
  }

  /** Commits up to the highest index on a quorum, if that entry is of the current term. */
  private void advanceCommit(Role.Leader leader, Instant now) {
    long index =
        log.membership().reachedByQuorum(member -> matchIndexOf(leader, member)).orElse(0L);
    if (index > commits.commitIndex() && log.termAt(index) == hardState().term()) {
      commits.advanceCommitIndex(index);
      sendAll(leader, now);
    }
  }

  private void expireLease(Instant now) {
    if (elections.role() instanceof Role.Leader leader && !leaseHolds(leader, now)) {
      elections.resign(now);
    }
  }

  private boolean leaseHolds(Role.Leader leader, Instant now) {
    return now.isBefore(
        lastQuorumAcknowledgedSendTime(leader, now).plus(ConsensusTimeouts.LEADER_LEASE));
  }

  /**
   * Returns the send time of the latest message acknowledged by a quorum, but no earlier than the
   * start of the election.
   */
  private Instant lastQuorumAcknowledgedSendTime(Role.Leader leader, Instant now) {
    return log.membership()
        .reachedByQuorum(member -> acknowledgedSendTimeOf(leader, member, now))
        .filter(leader.electionStartedAt()::isBefore)
        .orElse(leader.electionStartedAt());
  }

  /** Returns when the member acknowledged what was sent; this host has done so until now. */
  private Instant acknowledgedSendTimeOf(Role.Leader leader, Member member, Instant now) {
    return local.is(member)
        ? now
        : leader.progressOf(member).map(p -> p.acknowledgedSentAt).orElse(Instant.MIN);
  }

  /** Returns the highest index that is durable at the member. */
  private long matchIndexOf(Role.Leader leader, Member member) {
    return local.is(member)
        ? log.durableIndex()
        : leader.progressOf(member).map(p -> p.matchIndex).orElse(0L);
  }

  private void sendAll(Role.Leader leader, Instant now) {
    replicator.sendAll(leader, hardState().term(), commits.commitIndex(), now);
  }

  private void onPersisted(long sequence, Instant now) {
    store.onPersisted(sequence);
    switch (elections.role()) {
      case Role.Leader leader -> advanceCommit(leader, now);
      case Role.Candidate c ->
          elections.findElected(now).ifPresent(elected -> becomeLeader(elected, now));
      case Role.Follower f -> {}
    }
  }

  private HardState hardState() {
    return store.hardState();
  }

  private long newIncarnation() {
    return random.nextLong(1, Long.MAX_VALUE);
  }
}
