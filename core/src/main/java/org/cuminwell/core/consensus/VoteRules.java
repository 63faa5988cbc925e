package org.cuminwell.core.consensus;

import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.model.HostId;

/**
 * Decides whom a replica may vote for, and how many votes it needs itself. Stateless and thread
 * safe.
 */
final class VoteRules {

  private VoteRules() {}

  /**
   * Returns whether the host may vote for the candidate, whose log must be at least as up to date.
   */
  static <C, S> boolean mayVoteFor(
      VotingStatus votingStatus,
      ReplicaLog<C, S> log,
      HostId candidate,
      VoteRequest<C, S> request) {
    return isVotePermitted(votingStatus, candidate, request) && isLogUpToDate(log, request);
  }

  /**
   * Returns the number of votes needed, out of {@code hosts}. A founding host needs all of them; a
   * learner can't be elected.
   */
  static int votesNeeded(VotingStatus votingStatus, int hosts) {
    return switch (votingStatus) {
      case VotingStatus.Founding f -> hosts;
      case VotingStatus.Voter v -> quorum(hosts);
      case VotingStatus.Learner l -> Integer.MAX_VALUE;
    };
  }

  /** Returns the size of a majority of {@code hosts}. */
  static int quorum(int hosts) {
    return hosts / 2 + 1;
  }

  /**
   * Voters refuse founding candidates; founding hosts support only those, or hosts they already
   * voted for.
   */
  private static <C, S> boolean isVotePermitted(
      VotingStatus votingStatus, HostId candidate, VoteRequest<C, S> request) {
    return switch (votingStatus) {
      case VotingStatus.Voter v -> !request.founding();
      case VotingStatus.Founding f -> request.founding() || f.votedFor().contains(candidate);
      case VotingStatus.Learner l -> false;
    };
  }

  private static <C, S> boolean isLogUpToDate(ReplicaLog<C, S> log, VoteRequest<C, S> request) {
    return request.lastLogTerm() > log.lastTerm()
        || (request.lastLogTerm() == log.lastTerm() && request.lastLogIndex() >= log.lastIndex());
  }
}
