package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cuminwell.core.model.HostId;

/**
 * Decides for a leader how its membership changes, by what it hears of the other hosts.
 *
 * <p>Stateless; not thread safe, since a leader's role is not.
 */
final class MembershipChanges {

  private final HostId self;

  MembershipChanges(HostId self) {
    this.self = self;
  }

  /** Stops sending to learners that have been silent for long. */
  void forgetLearners(Role.Leader leader, Membership membership, Instant now) {
    leader
        .followers()
        .entrySet()
        .removeIf(
            follower ->
                membership.memberAt(follower.getKey()).isEmpty()
                    && follower
                        .getValue()
                        .isSilentFor(ConsensusTimeouts.FORGET_LEARNER_AFTER, now));
  }

  /**
   * Returns the membership to append; empty if the present one stays. The present one must be
   * committed.
   */
  Optional<Membership> next(
      Role.Leader leader, Membership membership, long commitIndex, Instant now) {
    if (membership.isChanging()) {
      return Optional.of(membership.changed());
    }
    return MembershipPlanner.nextVoters(
            membership.voters(), observe(leader, membership, commitIndex, now))
        .map(membership::changingTo);
  }

  /** Returns the hosts that the leader sends the log to and that don't vote, by host id. */
  List<HostId> learners(Role.Leader leader, Membership membership) {
    return leader.followers().entrySet().stream()
        .filter(
            follower ->
                membership.members().stream()
                    .noneMatch(
                        member ->
                            member.host().equals(follower.getKey())
                                && follower.getValue().is(member)))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the voters that the leader has not heard for long enough to replace them. */
  List<HostId> silentVoters(Role.Leader leader, Membership membership, Instant now) {
    return silentVoters(leader, membership, ConsensusTimeouts.REPLACE_SILENT_AFTER, now).stream()
        .map(Member::host)
        .sorted()
        .toList();
  }

  private MembershipPlanner.Observation observe(
      Role.Leader leader, Membership membership, long commitIndex, Instant now) {
    Predicate<FollowerProgress> isSettled =
        progress -> progress.hasBeenJoiningFor(ConsensusTimeouts.ADD_LEARNER_AFTER, now);
    return new MembershipPlanner.Observation(
        readyLearners(leader, membership, commitIndex, now, progress -> true),
        readyLearners(leader, membership, commitIndex, now, isSettled),
        silentVoters(leader, membership, ConsensusTimeouts.REPLACE_SILENT_AFTER, now),
        silentVoters(leader, membership, ConsensusTimeouts.DROP_ONE_AFTER, now),
        silentVoters(leader, membership, ConsensusTimeouts.DROP_TWO_AFTER, now));
  }

  /**
   * Returns the learners that ask to join, hold everything that is committed and are not silent.
   */
  private static Set<Member> readyLearners(
      Role.Leader leader,
      Membership membership,
      long commitIndex,
      Instant now,
      Predicate<FollowerProgress> condition) {
    return leader.followers().values().stream()
        .filter(progress -> !progress.isSilentFor(ConsensusTimeouts.LEARNER_HEARD_WITHIN, now))
        .filter(condition)
        .flatMap(progress -> progress.joiningWith(commitIndex).stream())
        .filter(member -> !membership.contains(member.host(), member.incarnation()))
        .collect(Collectors.toSet());
  }

  /**
   * Returns the voters that nothing was heard of for that long, or whose disk is lost, the longest
   * silent first.
   */
  private List<Member> silentVoters(
      Role.Leader leader, Membership membership, Duration time, Instant now) {
    return membership.voters().stream()
        .filter(member -> !member.host().equals(self))
        .filter(member -> !heardAt(leader, member).isAfter(now.minus(time)))
        .sorted(Comparator.comparing(member -> heardAt(leader, member)))
        .toList();
  }

  private static Instant heardAt(Role.Leader leader, Member member) {
    return leader.progressOf(member).map(FollowerProgress::heardAt).orElse(Instant.MIN);
  }
}
