package org.cuminwell.core.control;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.model.HostId;

/**
 * Describes one control host's part in consensus. Immutable and thread safe.
 *
 * @param term the latest term that the host has seen
 * @param leader the leader, if the host knows one
 * @param leads whether the host itself leads and its lease is valid
 * @param standing whether the host votes
 * @param membership who votes, by the newest entry of the host's log
 * @param learners the hosts that receive the log from this one and don't vote yet; empty unless it
 *     leads
 * @param silentVoters the voters that this host does not hear; empty unless it leads
 * @param appliedIndex the index of the last log entry applied to the host's state
 */
public record AgreementStatus(
    long term,
    Optional<HostId> leader,
    boolean leads,
    VotingStatus standing,
    Membership membership,
    List<HostId> learners,
    List<HostId> silentVoters,
    long appliedIndex) {

  /** Copies the lists. */
  public AgreementStatus {
    learners = List.copyOf(learners);
    silentVoters = List.copyOf(silentVoters);
  }

  /** Returns how many more voters may be lost while the others can still decide. */
  public int lossesBorne() {
    return Math.max(0, membership.lossesBorne() - silentVoters.size());
  }

  /** Returns whether all but the applied index is the same in {@code other}. */
  public boolean hasSameRoles(AgreementStatus other) {
    return term == other.term
        && leads == other.leads
        && leader.equals(other.leader)
        && standing.equals(other.standing)
        && membership.equals(other.membership)
        && learners.equals(other.learners)
        && silentVoters.equals(other.silentVoters);
  }

  /** Returns one line for a log, without the applied index. */
  public String describe() {
    return "term="
        + term
        + " leader="
        + leader.map(HostId::value).orElse("none")
        + " leads="
        + leads
        + " standing="
        + standingName()
        + " voters="
        + hostsOf(membership.voters())
        + " next_voters="
        + hostsOf(membership.nextVoters())
        + " learners="
        + join(learners)
        + " silent_voters="
        + join(silentVoters)
        + " losses_borne="
        + lossesBorne();
  }

  /** Returns the host's standing as operators read it. */
  public String standingName() {
    return switch (standing) {
      case VotingStatus.Founding s -> "founding";
      case VotingStatus.Voter s -> "voter";
      case VotingStatus.Learner s -> "learner";
    };
  }

  private static String hostsOf(Collection<Member> members) {
    return join(members.stream().map(Member::host).toList());
  }

  private static String join(Collection<HostId> hosts) {
    return hosts.stream().map(HostId::value).collect(Collectors.joining(",", "[", "]"));
  }
}
