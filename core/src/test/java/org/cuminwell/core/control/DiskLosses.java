package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.consensus.Membership;

/** Knows which disks of a {@link SimulatedCluster} may be lost so that the cluster must bear it. */
final class DiskLosses {

  /** The maximum time for which a message may be on its way, with a freeze of its receiver. */
  private static final Duration MAX_DELAY = Duration.ofSeconds(5);

  private final List<SimulatedHost> hosts;
  private final Map<Membership, Instant> lastHeld = new HashMap<>();

  /** Creates an instance for the hosts of the list, which may change. */
  DiskLosses(List<SimulatedHost> hosts) {
    this.hosts = hosts;
  }

  /** Records a membership that some host has now. */
  void onMembershipHeld(Membership membership, Instant now) {
    lastHeld.put(membership, now);
  }

  /**
   * Returns whether the loss of this host's disk is to be borne: the cluster is founded and has
   * committed something, a minority of its hosts don't vote yet, and by every membership that a
   * host has, or that may still be on its way, a quorum keeps its disks.
   */
  boolean areBorneWithout(SimulatedHost lost, Instant now) {
    Membership newest = newestMembership();
    long learners =
        hosts.stream()
            .filter(host -> host != lost && !newest.contains(host.id, host.incarnation()))
            .count();
    return hosts.stream().noneMatch(SimulatedHost::isFounding)
        && !newest.voters().isEmpty()
        && learners + 1 <= (hosts.size() - 1) / 2
        && Stream.concat(
                hosts.stream().flatMap(host -> host.memberships().stream()),
                lastHeld.entrySet().stream()
                    .filter(held -> now.isBefore(held.getValue().plus(MAX_DELAY)))
                    .map(Map.Entry::getKey))
            .allMatch(membership -> hasQuorumWithout(lost, membership));
  }

  /** Returns whether the host votes, and as many losses are borne as its cluster should bear. */
  boolean isSettled(SimulatedHost host, Membership membership) {
    long lost = membership.voters().stream().filter(member -> !isIntact(member)).count();
    return !membership.isChanging()
        && membership.contains(host.id, host.incarnation())
        && membership.lossesBorne() - lost >= (hosts.size() - 1) / 2;
  }

  /** Returns the membership of the running host that has applied most. */
  private Membership newestMembership() {
    return hosts.stream()
        .map(host -> host.stateMachine)
        .filter(Objects::nonNull)
        .filter(machine -> machine.appliedIndex() > 0)
        .max(Comparator.comparingLong(ReplicatedStateMachine::appliedIndex))
        .map(ReplicatedStateMachine::membership)
        .orElse(Membership.NONE);
  }

  private boolean hasQuorumWithout(SimulatedHost lost, Membership membership) {
    return Stream.of(membership.voters(), membership.nextVoters())
        .filter(voters -> !voters.isEmpty())
        .allMatch(
            voters ->
                voters.stream()
                        .filter(member -> !member.host().equals(lost.id) && isIntact(member))
                        .count()
                    > voters.size() / 2);
  }

  /** Returns whether the member's machine is there with its disk. */
  private boolean isIntact(Member member) {
    return hosts.stream()
        .filter(host -> host.id.equals(member.host()))
        .anyMatch(host -> host.incarnation() == member.incarnation());
  }
}
