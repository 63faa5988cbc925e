package org.cuminwell.core.consensus;

import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.model.HostId;

/** Says whom a replica may elect, and how many votes it needs itself. Stateless, thread safe. */
final class VoteRules {

  private VoteRules() {}

  /** Returns whether the host may vote, and whether the candidate's log is at least as new. */
  static <C, S> boolean mayElect(
      Standing standing, ReplicaLog<C, S> log, HostId candidate, VoteRequest<C, S> request) {
    return mayVote(standing, candidate, request) && isAsNew(log, request);
  }

  /** Returns how many of {@code hosts} must grant their vote. */
  static int needed(Standing standing, int hosts) {
    return switch (standing) {
      case Standing.Founding f -> hosts;
      case Standing.Voter v -> quorum(hosts);
      case Standing.Learner l -> Integer.MAX_VALUE;
    };
  }

  /** Returns how many of {@code hosts} are a majority. */
  static int quorum(int hosts) {
    return hosts / 2 + 1;
  }

  private static <C, S> boolean mayVote(
      Standing standing, HostId candidate, VoteRequest<C, S> request) {
    return switch (standing) {
      case Standing.Voter v -> !request.founding();
      case Standing.Founding f -> request.founding() || f.votedFor().contains(candidate);
      case Standing.Learner l -> false;
    };
  }

  private static <C, S> boolean isAsNew(ReplicaLog<C, S> log, VoteRequest<C, S> request) {
    return request.lastTerm() > log.lastTerm()
        || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
  }
}
