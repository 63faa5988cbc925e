package org.cuminwell.core.control;

import java.util.Optional;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.model.HostId;

/**
 * Tells how one control host stands in the agreement. Immutable and thread safe.
 *
 * @param term the latest term that it has seen
 * @param leader the host that leads as far as it knows
 * @param leads whether it leads itself and its lease holds
 * @param standing whether it votes
 * @param appliedIndex the last entry of the log that its state includes
 */
public record AgreementStatus(
    long term, Optional<HostId> leader, boolean leads, VotingStatus standing, long appliedIndex) {

  /** Returns whether {@code other} has the same leader, term and standing. */
  public boolean hasSameRoles(AgreementStatus other) {
    return term == other.term
        && leads == other.leads
        && leader.equals(other.leader)
        && standing.equals(other.standing);
  }
}
