package org.cuminwell.core.consensus;

import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * Says what a host may do for the agreement, which depends on what its disk has seen.
 *
 * <p>Part of the durable state. Immutable and thread safe.
 */
public sealed interface VotingStatus {

  /**
   * The host takes part in founding a new cluster: its disk is empty and the operator said so. A
   * first leader needs every voter to be founding, so a host that has lost its disk can't found a
   * second cluster beside the first, even if its settings still ask for it.
   *
   * @param votedFor every host that it has voted for while founding; one of them may lead already
   */
  record Founding(Set<HostId> votedFor) implements VotingStatus {
    /** Copies the set. */
    public Founding {
      votedFor = Set.copyOf(votedFor);
    }
  }

  /** The host votes and its acknowledgements count. */
  record Voter() implements VotingStatus {}

  /**
   * The host has come with an empty disk and may have forgotten votes and entries, so it neither
   * votes nor counts until an {@link EntryContent.Admit} for it is committed without it.
   *
   * @param incarnation a number drawn for this disk, so that an older admission doesn't count
   */
  record Learner(long incarnation) implements VotingStatus {}

  /** Returns the incarnation of a host that neither votes nor counts. */
  default OptionalLong learnerIncarnation() {
    return switch (this) {
      case Founding f -> OptionalLong.empty();
      case Voter v -> OptionalLong.empty();
      case Learner l -> OptionalLong.of(l.incarnation());
    };
  }
}
