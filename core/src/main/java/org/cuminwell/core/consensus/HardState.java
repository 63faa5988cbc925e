package org.cuminwell.core.consensus;

import java.util.Optional;
import org.cuminwell.core.model.HostId;

/**
 * Holds the state besides the log that a host must persist: Raft's hard state, the incarnation of
 * the disk, and the founding while it lasts. Immutable and thread safe.
 *
 * @param term the latest term that the host has seen
 * @param votedFor the host that it voted for in that term
 * @param incarnation the random number drawn for this disk; never 0
 * @param founding the founding that the host takes part in, until its log tells who votes
 */
public record HardState(
    long term, Optional<HostId> votedFor, long incarnation, Optional<Founding> founding) {

  /**
   * Checks the incarnation.
   *
   * @throws IllegalArgumentException if the incarnation is 0
   */
  public HardState {
    if (incarnation == 0) {
      throw new IllegalArgumentException("the hard state has no incarnation");
    }
  }

  /** Returns the state of a host that founds a new cluster. */
  public static HardState founding(Founding founding, long incarnation) {
    return new HardState(0, Optional.empty(), incarnation, Optional.of(founding));
  }

  /** Returns the state of a host that joins a cluster with an empty disk. */
  public static HardState joining(long incarnation) {
    return new HardState(0, Optional.empty(), incarnation, Optional.empty());
  }

  /** Returns the state at the start of a later term, without a vote. */
  HardState inTerm(long newTerm) {
    return new HardState(newTerm, Optional.empty(), incarnation, founding);
  }

  /** Returns the state after a vote for the candidate. */
  HardState votingFor(HostId candidate) {
    return new HardState(term, Optional.of(candidate), incarnation, founding);
  }

  /** Returns the state of a host that is no longer founding. */
  HardState founded() {
    return new HardState(term, votedFor, incarnation, Optional.empty());
  }

  /** Returns the state of the same host as another member. */
  HardState withIncarnation(long other) {
    return new HardState(term, votedFor, other, founding);
  }
}
