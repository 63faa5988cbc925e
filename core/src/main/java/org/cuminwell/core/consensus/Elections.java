package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SortedSet;
import java.util.SplittableRandom;
import org.cuminwell.core.consensus.ConsensusMessage.VoteReply;
import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.model.HostId;

/**
 * Holds the role of a replica, and takes it through elections: when to ask for votes, for whom to
 * vote, and whether the votes suffice.
 *
 * <p>Invariants: a host votes at most once a term; it helps to elect no one within {@link
 * ConsensusTimeouts#VOTE_HOLD_OFF} of a leader's message, of a vote that it granted, or of its
 * start. Not thread safe: its {@link Replica} owns it.
 */
final class Elections<C, S> {

  private final LocalMember<C, S> local;
  private final ReplicaStore<C, S> store;
  private final Outbox<C, S> outbox;
  private final SplittableRandom random;

  private Role role = new Role.Follower(Optional.empty());
  private Instant lastLeaderSignalAt;
  private Instant electionDueAt;

  /** Starts as a follower. The leader that this host followed before may still hold its lease. */
  Elections(
      LocalMember<C, S> local,
      ReplicaStore<C, S> store,
      Outbox<C, S> outbox,
      SplittableRandom random,
      Instant now) {
    this.local = local;
    this.store = store;
    this.outbox = outbox;
    this.random = random;
    this.lastLeaderSignalAt = now;
    this.electionDueAt = now.plus(timeout());
  }

  Role role() {
    return role;
  }

  /** Starts to lead in the present term. */
  void lead(Role.Leader leader) {
    role = leader;
  }

  /** Follows a leader that has just shown that it is there. */
  void follow(HostId leader, Instant now) {
    role = new Role.Follower(Optional.of(leader));
    lastLeaderSignalAt = now;
    restartTimer(now);
  }

  /** Follows no leader, in the present term. */
  void resign(Instant now) {
    role = new Role.Follower(Optional.empty());
    restartTimer(now);
  }

  /** Adopts a later term, stepping down if this host leads or is a candidate. */
  void adoptTerm(long term) {
    if (term > hardState().term()) {
      role = new Role.Follower(Optional.empty());
      store.replaceHardState(hardState().inTerm(term));
    }
  }

  /**
   * Asks for votes if no leader has been heard for the election timeout.
   *
   * @return this host as a candidate if it is elected at once, being the only voter
   */
  Optional<Role.Candidate> startIfDue(Instant now) {
    if (now.isBefore(electionDueAt)) {
      return Optional.empty();
    }
    if (local.mayBeElected()) {
      return start(true, now);
    }
    resign(now);
    return Optional.empty();
  }

  /** Starts a pre-vote, or the election proper in a new term. */
  private Optional<Role.Candidate> start(boolean preVote, Instant now) {
    restartTimer(now);
    if (!preVote) {
      store.replaceHardState(hardState().inTerm(hardState().term() + 1).votingFor(local.host()));
    }
    Role.Candidate candidate = Role.Candidate.starting(preVote, local.member(), now);
    role = candidate;
    VoteRequest<C, S> request =
        new VoteRequest<>(
            preVote ? hardState().term() + 1 : hardState().term(),
            preVote,
            hardState().founding().isPresent(),
            store.log().lastIndex(),
            store.log().lastTerm());
    local.otherElectors().forEach(host -> outbox.sendWhenDurable(host, request));
    return findElected(now);
  }

  /**
   * Grants the vote only if no message of a leader was received recently and the candidate is
   * eligible.
   */
  void onVoteRequest(HostId from, VoteRequest<C, S> request, Instant now) {
    boolean isLeaderSilent =
        !now.isBefore(lastLeaderSignalAt.plus(ConsensusTimeouts.VOTE_HOLD_OFF));
    boolean wouldElect =
        isLeaderSilent
            && !(role instanceof Role.Leader)
            && VoteRules.mayVoteFor(hardState().founding(), store.log(), request);
    if (request.preVote()) {
      replyToVote(from, request, wouldElect && request.term() > hardState().term());
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
      // The lease of the candidate begins before this vote; another must not be elected within it.
      lastLeaderSignalAt = now;
      restartTimer(now);
      store.replaceHardState(hardState().votingFor(from));
    }
    replyToVote(from, request, granted);
  }

  private void replyToVote(HostId from, VoteRequest<C, S> request, boolean granted) {
    outbox.sendWhenDurable(
        from,
        new VoteReply<>(
            granted ? request.term() : hardState().term(),
            request.preVote(),
            granted,
            local.member()));
  }

  /** Counts a vote, and returns this host as a candidate if that elects it. */
  Optional<Role.Candidate> onVoteReply(HostId from, VoteReply<C, S> reply, Instant now) {
    if (!reply.granted()) {
      adoptTerm(reply.term());
      return Optional.empty();
    }
    if (role instanceof Role.Candidate candidate
        && candidate.preVote() == reply.preVote()
        && reply.term() == (reply.preVote() ? hardState().term() + 1 : hardState().term())) {
      candidate.votesFrom().put(from, reply.voter());
      return findElected(now);
    }
    return Optional.empty();
  }

  /**
   * Goes from a won pre-vote to the election, and returns this host as a candidate once it is
   * elected and all that this rests on is durable.
   */
  Optional<Role.Candidate> findElected(Instant now) {
    if (!(role instanceof Role.Candidate candidate)
        || !VoteRules.isElected(hardState().founding(), store.log().membership(), candidate)) {
      return Optional.empty();
    }
    if (candidate.preVote()) {
      return start(false, now);
    }
    return outbox.isDurable() ? Optional.of(candidate) : Optional.empty();
  }

  private void restartTimer(Instant now) {
    electionDueAt = now.plus(timeout());
  }

  /**
   * Returns a random timeout from this host's slot of the possible ones. Each elector has a slot of
   * its own, in the order of host ids, so that few hosts ask for votes at the same time.
   */
  private Duration timeout() {
    SortedSet<HostId> electors = local.otherElectors();
    electors.add(local.host());
    long slotMillis =
        Math.max(1, ConsensusTimeouts.MAX_ELECTION_JITTER.toMillis() / electors.size());
    long slot = electors.headSet(local.host()).size();
    return ConsensusTimeouts.MIN_ELECTION_TIMEOUT.plusMillis(
        slot * slotMillis + random.nextLong(slotMillis));
  }

  private HardState hardState() {
    return store.hardState();
  }
}
