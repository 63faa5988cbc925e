package org.cuminwell.core.consensus;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.model.HostId;

/**
 * Holds what a host must remember besides its log. Immutable and thread safe.
 *
 * @param term the latest term that the host has seen
 * @param votedFor the host that it voted for in that term
 */
public record HardState(long term, Optional<HostId> votedFor, Standing standing) {

  /** Returns the state of a host whose operator asks for a new cluster. */
  public static HardState founding() {
    return new HardState(0, Optional.empty(), new Standing.Founding(Set.of()));
  }

  /** Returns the state of a host that joins a cluster with an empty disk. */
  public static HardState learner(long incarnation) {
    return new HardState(0, Optional.empty(), new Standing.Learner(incarnation));
  }

  HardState inTerm(long newTerm) {
    return new HardState(newTerm, Optional.empty(), standing);
  }

  HardState votingFor(HostId candidate) {
    Standing after =
        switch (standing) {
          case Standing.Founding f -> new Standing.Founding(with(f.votedFor(), candidate));
          case Standing.Voter v -> v;
          case Standing.Learner l -> l;
        };
    return new HardState(term, Optional.of(candidate), after);
  }

  HardState with(Standing newStanding) {
    return new HardState(term, votedFor, newStanding);
  }

  private static Set<HostId> with(Set<HostId> hosts, HostId more) {
    Set<HostId> all = new TreeSet<>(hosts);
    all.add(more);
    return all;
  }
}
