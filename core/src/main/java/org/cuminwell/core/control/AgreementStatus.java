package org.cuminwell.core.control;

import java.util.Optional;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.model.HostId;

/**
 * Describes one control host's part in consensus. Immutable and thread safe.
 *
 * @param term the latest term that the host has seen
 * @param leader the leader, if the host knows one
 * @param leads whether the host itself leads and its lease is valid
 * @param standing whether the host may vote
 * @param appliedIndex the index of the last log entry applied to the host's state
 */
public record AgreementStatus(
    long term, Optional<HostId> leader, boolean leads, VotingStatus standing, long appliedIndex) {

  /**
   * Returns whether {@code other} has the same term, leader and voting status. The applied index is
   * ignored.
   */
  public boolean hasSameRoles(AgreementStatus other) {
    return term == other.term
        && leads == other.leads
        && leader.equals(other.leader)
        && standing.equals(other.standing);
  }
}
