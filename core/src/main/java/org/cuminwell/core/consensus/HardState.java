package org.cuminwell.core.consensus;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.model.HostId;

/**
 * Holds the state besides the log that a host must persist: Raft's hard state and the voting
 * status. Immutable and thread safe.
 *
 * @param term the latest term that the host has seen
 * @param votedFor the host that it voted for in that term
 */
public record HardState(long term, Optional<HostId> votedFor, VotingStatus votingStatus) {

  /** Returns the state of a host that founds a new cluster, as its operator asked. */
  public static HardState founding() {
    return new HardState(0, Optional.empty(), new VotingStatus.Founding(Set.of()));
  }

  /** Returns the state of a host that joins a cluster with an empty disk. */
  public static HardState learner(long incarnation) {
    return new HardState(0, Optional.empty(), new VotingStatus.Learner(incarnation));
  }

  /** Returns the state at the start of a later term, without a vote. */
  HardState inTerm(long newTerm) {
    return new HardState(newTerm, Optional.empty(), votingStatus);
  }

  /** Returns the state after a vote for the candidate. */
  HardState votingFor(HostId candidate) {
    VotingStatus after =
        switch (votingStatus) {
          case VotingStatus.Founding f -> new VotingStatus.Founding(plus(f.votedFor(), candidate));
          case VotingStatus.Voter v -> v;
          case VotingStatus.Learner l -> l;
        };
    return new HardState(term, Optional.of(candidate), after);
  }

  HardState with(VotingStatus newStanding) {
    return new HardState(term, votedFor, newStanding);
  }

  private static Set<HostId> plus(Set<HostId> hosts, HostId more) {
    Set<HostId> all = new TreeSet<>(hosts);
    all.add(more);
    return all;
  }
}
