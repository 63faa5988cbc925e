package org.cuminwell.core.consensus;

import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * States whether a host may vote, which depends on the history of its disk.
 *
 * <p>Part of the durable state. Immutable and thread safe.
 */
public sealed interface VotingStatus {

  /**
   * Marks a host that takes part in founding a new cluster: its disk is empty and its operator
   * asked for it. The first leader needs the votes of all hosts, and a host of an existing cluster
   * refuses to vote for a founding one. So a host that has lost its disk can't found a second
   * cluster, even if its settings still say so.
   *
   * @param votedFor every host that it has voted for while founding; one of them may already lead
   */
  record Founding(Set<HostId> votedFor) implements VotingStatus {
    /** Copies the set. */
    public Founding {
      votedFor = Set.copyOf(votedFor);
    }
  }

  /** Marks a host that votes and whose acknowledgements count. */
  record Voter() implements VotingStatus {}

  /**
   * Marks a host that may have lost votes and entries, since its disk was empty or held an older
   * state. It neither votes nor counts until an {@link EntryContent.Admit} for it is committed
   * without its help.
   *
   * @param incarnation a random number drawn for this disk, so that an admission of an earlier disk
   *     doesn't count
   */
  record Learner(long incarnation) implements VotingStatus {}

  /** Returns the incarnation of a learner; empty for other hosts. */
  default OptionalLong learnerIncarnation() {
    return switch (this) {
      case Founding f -> OptionalLong.empty();
      case Voter v -> OptionalLong.empty();
      case Learner l -> OptionalLong.of(l.incarnation());
    };
  }
}
