package org.cuminwell.core.consensus;

import java.util.Optional;
import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;

/**
 * Decides whom a replica may vote for, and which votes elect it. Stateless and thread safe.
 *
 * <p>A replica grants its vote whether or not its log says that it or the candidate votes; the
 * candidate counts only the votes of members that its own log names.
 */
final class VoteRules {

  private VoteRules() {}

  /**
   * Returns whether the host may vote for the candidate, whose log must be at least as up to date.
   * A host that is not founding itself refuses founding candidates.
   */
  static <C, S> boolean mayVoteFor(
      Optional<Founding> founding, ReplicaLog<C, S> log, VoteRequest<C, S> request) {
    return (founding.isPresent() || !request.founding()) && isLogUpToDate(log, request);
  }

  /** Returns whether the votes elect the candidate; a founding one needs those of all founders. */
  static boolean isElected(
      Optional<Founding> founding, Membership membership, Role.Candidate candidate) {
    return founding
        .map(f -> candidate.votesFrom().keySet().containsAll(f.voters()))
        .orElseGet(() -> membership.isQuorum(candidate::hasVoteOf));
  }

  private static <C, S> boolean isLogUpToDate(ReplicaLog<C, S> log, VoteRequest<C, S> request) {
    return request.lastLogTerm() > log.lastTerm()
        || (request.lastLogTerm() == log.lastTerm() && request.lastLogIndex() >= log.lastIndex());
  }
}
