package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.cuminwell.core.consensus.ConsensusMessage.AppendReply;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.InstallSnapshot;
import org.cuminwell.core.consensus.ConsensusMessage.JoinRequest;
import org.cuminwell.core.consensus.ConsensusMessage.VoteReply;
import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.consensus.ReplicaAction.NotPlaced;
import org.cuminwell.core.consensus.ReplicaAction.Placed;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Decides for one host what the agreement needs: who leads, what the log holds and what of it is
 * committed.
 *
 * <p>Follows the Raft algorithm with pre-votes and a leader lease. Invariants: the term never goes
 * down; a host votes once a term; a committed entry is never replaced; entries are applied in
 * order, once, and only when committed; nothing is promised to another host before it is durable
 * here. A host that is no voter neither votes nor counts. Not thread safe: one thread owns it.
 *
 * @param <C> the commands
 * @param <S> the replicated state as snapshots hold it
 */
public final class Replica<C, S> {

  private final HostId self;
  private final Set<HostId> others;
  private final SplittableRandom random;
  private final Outbox<C, S> outbox = new Outbox<>();
  private final ReplicaStore<C, S> store;
  private final ReplicaLog<C, S> log;
  private final CommitProgress<C, S> progress;
  private final LeaderDuties<C, S> duties;

  private Role role = new Role.Follower(Optional.empty());
  private Instant leaderHeard;
  private Instant electionAt;
  private Instant joinAt;

  /**
   * Makes a replica of what its disk holds.
   *
   * @param voters every host that may vote, this one among them
   * @param random the source of election timeouts and incarnations
   */
  public Replica(
      HostId self,
      Set<HostId> voters,
      DurableState<C, S> durable,
      SplittableRandom random,
      Instant now) {
    this.self = self;
    this.others = new TreeSet<>(voters);
    this.others.remove(self);
    this.random = random;
    this.store = new ReplicaStore<>(durable, outbox);
    this.log = store.log();
    this.progress = new CommitProgress<>(self, store, outbox);
    this.duties = new LeaderDuties<>(log, outbox);
    // A leader that this host heard just before it stopped may still hold its lease.
    this.leaderHeard = now;
    this.electionAt = now.plus(electionTimeout());
    this.joinAt = now;
  }

  /** Returns what to do about the event, in order. */
  public List<ReplicaAction<C, S>> handle(ReplicaEvent<C, S> event, Instant now) {
    expireLease(now);
    switch (event) {
      case ReplicaEvent.Ticked<C, S> e -> tick(now);
      case ReplicaEvent.Heard<C, S> e -> hear(e.from(), e.message(), now);
      case ReplicaEvent.Persisted<C, S> e -> persisted(e.sequence(), now);
      case ReplicaEvent.Propose<C, S> e -> propose(e.id(), e.command(), now);
      case ReplicaEvent.Compact<C, S> e -> progress.compact(e.state());
    }
    progress.apply();
    return outbox.drain();
  }

  /** Returns the latest term seen; a leader's term serves as a fencing number. */
  public long term() {
    return hard().term();
  }

  /** Returns whether this host leads and its lease holds. */
  public boolean leads(Instant now) {
    return role instanceof Role.Leader leader && leaseHolds(leader, now);
  }

  /** Returns the host that leads as far as this host knows. */
  public Optional<HostId> leader(Instant now) {
    return switch (role) {
      case Role.Leader l -> leaseHolds(l, now) ? Optional.of(self) : Optional.empty();
      case Role.Follower f -> f.leader();
      case Role.Candidate c -> Optional.empty();
    };
  }

  /**
   * Returns the time of the latest message of this leader that a quorum has acknowledged; empty if
   * this host does not lead, or may not know yet all that earlier leaders committed.
   */
  public Optional<Instant> confirmedAt(Instant now) {
    return role instanceof Role.Leader leader && log.termAt(progress.commit()) == hard().term()
        ? Optional.of(leader.quorumContact(now, quorum()))
        : Optional.empty();
  }

  /** Returns whether this host votes and counts. */
  public VotingStatus standing() {
    return hard().votingStatus();
  }

  /** Returns the last index that is known to be committed. */
  public long commitIndex() {
    return progress.commit();
  }

  /** Returns the last index that was applied. */
  public long appliedIndex() {
    return progress.applied();
  }

  /** Returns how many entries the log holds after the snapshot. */
  public int logSize() {
    return log.size();
  }

  private void tick(Instant now) {
    boolean isStalled = outbox.isStalled(now);
    if (isStalled && role instanceof Role.Leader) {
      resign(now);
    }
    switch (role) {
      case Role.Leader leader -> duties.heartbeat(leader, hard().term(), progress.commit(), now);
      case Role.Follower f -> tickWithoutLead(now);
      case Role.Candidate c -> tickWithoutLead(now);
    }
  }

  private void tickWithoutLead(Instant now) {
    if (hard().votingStatus() instanceof VotingStatus.Learner learner) {
      askToJoin(learner, now);
    } else if (!now.isBefore(electionAt)) {
      campaign(true, now);
    }
  }

  private void askToJoin(VotingStatus.Learner learner, Instant now) {
    if (role instanceof Role.Follower follower
        && follower.leader().isPresent()
        && !now.isBefore(joinAt)) {
      joinAt = now.plus(ConsensusTimes.JOIN);
      outbox.sendWhenDurable(
          follower.leader().get(), new JoinRequest<>(hard().term(), learner.incarnation()));
    }
  }

  private void hear(HostId from, ConsensusMessage<C, S> message, Instant now) {
    if (!others.contains(from)) {
      return;
    }
    switch (message) {
      case VoteRequest<C, S> m -> answerVote(from, m, now);
      case VoteReply<C, S> m -> countVote(from, m, now);
      case AppendRequest<C, S> m -> append(from, m, now);
      case InstallSnapshot<C, S> m -> install(from, m, now);
      case AppendReply<C, S> m -> acknowledge(from, m, now);
      case JoinRequest<C, S> m -> admit(from, m, now);
    }
  }

  // Elections.

  private void campaign(boolean preVote, Instant now) {
    electionAt = now.plus(electionTimeout());
    if (!preVote) {
      store.change(hard().inTerm(hard().term() + 1).votingFor(self));
    }
    Role.Candidate candidate = Role.Candidate.starting(preVote, self, now);
    role = candidate;
    VoteRequest<C, S> request =
        new VoteRequest<>(
            preVote ? hard().term() + 1 : hard().term(),
            preVote,
            hard().votingStatus() instanceof VotingStatus.Founding,
            log.lastIndex(),
            log.lastTerm());
    others.forEach(host -> outbox.sendWhenDurable(host, request));
    countGranted(candidate, now);
  }

  private void answerVote(HostId from, VoteRequest<C, S> request, Instant now) {
    boolean quiet = !now.isBefore(leaderHeard.plus(ConsensusTimes.VOTE_PAUSE));
    boolean willing =
        quiet
            && !(role instanceof Role.Leader)
            && VoteRules.mayElect(hard().votingStatus(), log, from, request);
    if (request.preVote()) {
      boolean granted = willing && request.term() > hard().term();
      replyToVote(from, request, granted);
      return;
    }
    if (!quiet || role instanceof Role.Leader) {
      replyToVote(from, request, false);
      return;
    }
    adopt(request.term());
    boolean granted =
        willing
            && request.term() == hard().term()
            && hard().votedFor().map(from::equals).orElse(true);
    if (granted) {
      electionAt = now.plus(electionTimeout());
      store.change(hard().votingFor(from));
    }
    replyToVote(from, request, granted);
  }

  private void replyToVote(HostId from, VoteRequest<C, S> request, boolean granted) {
    outbox.sendWhenDurable(
        from,
        new VoteReply<>(granted ? request.term() : hard().term(), request.preVote(), granted));
  }

  private void countVote(HostId from, VoteReply<C, S> reply, Instant now) {
    if (!reply.granted()) {
      adopt(reply.term());
      return;
    }
    if (role instanceof Role.Candidate candidate
        && candidate.preVote() == reply.preVote()
        && reply.term() == (reply.preVote() ? hard().term() + 1 : hard().term())) {
      candidate.granted().add(from);
      countGranted(candidate, now);
    }
  }

  private void countGranted(Role.Candidate candidate, Instant now) {
    int needed = VoteRules.needed(hard().votingStatus(), others.size() + 1);
    if (candidate.granted().size() < needed) {
      return;
    }
    if (candidate.preVote()) {
      campaign(false, now);
    } else if (outbox.isDurable()) {
      lead(candidate.since(), now);
    }
  }

  private void lead(Instant since, Instant now) {
    role = Role.Leader.of(others, log.lastIndex() + 1, since);
    appendOwn(hard().with(new VotingStatus.Voter()), new EntryContent.NoOp<>(), now);
  }

  /** Takes on a later term and gives up any lead of an earlier one. */
  private void adopt(long term) {
    if (term > hard().term()) {
      role = new Role.Follower(Optional.empty());
      store.change(hard().inTerm(term));
    }
  }

  // Following.

  private void append(HostId from, AppendRequest<C, S> request, Instant now) {
    if (!follow(from, request.term(), request.sentAt(), now)) {
      return;
    }
    if (log.lastIndex() < request.acknowledgedIndex()) {
      becomeLearner();
    }
    if (!log.holds(request.previousIndex(), request.previousTerm())) {
      long retry = Math.min(log.lastIndex(), request.previousIndex() - 1);
      reply(from, false, Math.max(retry, progress.commit()), request.sentAt());
      return;
    }
    List<LogEntry<C>> news =
        request.entries().stream()
            .dropWhile(entry -> log.holds(entry.index(), entry.term()))
            .toList();
    if (!news.isEmpty()) {
      if (news.getFirst().index() <= progress.commit()) {
        throw new IllegalStateException(
            "leader " + from + " replaces committed entry " + news.getFirst().index());
      }
      store.append(news);
    }
    long match = request.previousIndex() + request.entries().size();
    progress.advance(Math.min(request.commitIndex(), match));
    reply(from, true, match, request.sentAt());
  }

  private void install(HostId from, InstallSnapshot<C, S> request, Instant now) {
    if (!follow(from, request.term(), request.sentAt(), now)) {
      return;
    }
    progress.install(request.snapshot());
    reply(from, true, request.snapshot().index(), request.sentAt());
  }

  /** Follows the sender if its term is current, and returns whether it is. */
  private boolean follow(HostId from, long term, Instant sentAt, Instant now) {
    if (term < hard().term()) {
      reply(from, false, progress.commit(), sentAt);
      return false;
    }
    adopt(term);
    role = new Role.Follower(Optional.of(from));
    leaderHeard = now;
    electionAt = now.plus(electionTimeout());
    if (hard().votingStatus() instanceof VotingStatus.Founding founding) {
      if (founding.votedFor().contains(from)) {
        store.change(hard().with(new VotingStatus.Voter()));
      } else {
        becomeLearner();
      }
    }
    return true;
  }

  private void becomeLearner() {
    if (hard().votingStatus().learnerIncarnation().isEmpty()) {
      store.change(hard().with(new VotingStatus.Learner(random.nextLong())));
    }
  }

  private void reply(HostId to, boolean matched, long index, Instant sentAt) {
    outbox.sendWhenDurable(
        to,
        new AppendReply<>(
            hard().term(), matched, index, hard().votingStatus().learnerIncarnation(), sentAt));
  }

  // Leading.

  private void acknowledge(HostId from, AppendReply<C, S> reply, Instant now) {
    adopt(reply.term());
    if (role instanceof Role.Leader leader && reply.term() == hard().term()) {
      duties.acknowledge(leader, from, reply, hard().term(), progress.commit(), now);
      advanceCommit(leader, now);
    }
  }

  private void admit(HostId from, JoinRequest<C, S> request, Instant now) {
    if (role instanceof Role.Leader leader) {
      Progress follower = leader.followers().get(from);
      if (follower != null && follower.admitIndex <= progress.commit()) {
        follower.joins(OptionalLong.of(request.incarnation()), log.lastIndex());
        follower.admitIndex = log.lastIndex() + 1;
        appendOwn(new EntryContent.Admit<>(from, request.incarnation()), now);
      }
    }
  }

  private void propose(RequestId id, C command, Instant now) {
    if (role instanceof Role.Leader) {
      outbox.add(new Placed<>(id, log.lastIndex() + 1, hard().term()));
      appendOwn(new EntryContent.Proposed<>(command), now);
    } else {
      outbox.add(new NotPlaced<>(id));
    }
  }

  private void appendOwn(EntryContent<C> content, Instant now) {
    appendOwn(hard(), content, now);
  }

  private void appendOwn(HardState hard, EntryContent<C> content, Instant now) {
    Instant at = Instant.ofEpochMilli(now.toEpochMilli());
    Instant last = log.lastTime();
    Instant ordered = at.isBefore(last) ? last : at;
    store.append(hard, List.of(new LogEntry<>(log.lastIndex() + 1, hard.term(), ordered, content)));
    if (role instanceof Role.Leader leader) {
      sendAll(leader, now);
    }
  }

  private void advanceCommit(Role.Leader leader, Instant now) {
    long index = leader.quorumIndex(log.durableIndex(), quorum());
    if (index > progress.commit() && log.termAt(index) == hard().term()) {
      progress.advance(index);
      sendAll(leader, now);
    }
  }

  private void expireLease(Instant now) {
    if (role instanceof Role.Leader leader && !leaseHolds(leader, now)) {
      resign(now);
    }
  }

  private void resign(Instant now) {
    role = new Role.Follower(Optional.empty());
    electionAt = now.plus(electionTimeout());
  }

  private boolean leaseHolds(Role.Leader leader, Instant now) {
    return now.isBefore(leader.quorumContact(now, quorum()).plus(ConsensusTimes.LEASE));
  }

  private void sendAll(Role.Leader leader, Instant now) {
    duties.sendAll(leader, hard().term(), progress.commit(), now);
  }

  private void persisted(long sequence, Instant now) {
    store.persisted(sequence);
    switch (role) {
      case Role.Leader leader -> advanceCommit(leader, now);
      case Role.Candidate candidate -> countGranted(candidate, now);
      case Role.Follower f -> {}
    }
  }

  private HardState hard() {
    return store.hard();
  }

  private int quorum() {
    return VoteRules.quorum(others.size() + 1);
  }

  private Duration electionTimeout() {
    return ConsensusTimes.MIN_ELECTION.plusMillis(
        random.nextLong(ConsensusTimes.ELECTION_SPREAD.toMillis()));
  }
}
