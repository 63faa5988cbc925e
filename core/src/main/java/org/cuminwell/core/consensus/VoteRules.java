package org.cuminwell.core.consensus;

import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.model.HostId;

/** Says whom a replica may elect, and how many votes it needs itself. Stateless, thread safe. */
final class VoteRules {

  private VoteRules() {}

  /** Returns whether the host may vote, and whether the candidate's log is at least as new. */
  static <C, S> boolean mayElect(
      VotingStatus votingStatus,
      ReplicaLog<C, S> log,
      HostId candidate,
      VoteRequest<C, S> request) {
    return mayVote(votingStatus, candidate, request) && isAsNew(log, request);
  }

  /** Returns how many of {@code hosts} must grant their vote. */
  static int needed(VotingStatus votingStatus, int hosts) {
    return switch (votingStatus) {
      case VotingStatus.Founding f -> hosts;
      case VotingStatus.Voter v -> quorum(hosts);
      case VotingStatus.Learner l -> Integer.MAX_VALUE;
    };
  }

  /** Returns how many of {@code hosts} are a majority. */
  static int quorum(int hosts) {
    return hosts / 2 + 1;
  }

  private static <C, S> boolean mayVote(
      VotingStatus votingStatus, HostId candidate, VoteRequest<C, S> request) {
    return switch (votingStatus) {
      case VotingStatus.Voter v -> !request.founding();
      case VotingStatus.Founding f -> request.founding() || f.votedFor().contains(candidate);
      case VotingStatus.Learner l -> false;
    };
  }

  private static <C, S> boolean isAsNew(ReplicaLog<C, S> log, VoteRequest<C, S> request) {
    return request.lastLogTerm() > log.lastTerm()
        || (request.lastLogTerm() == log.lastTerm() && request.lastLogIndex() >= log.lastIndex());
  }
}
