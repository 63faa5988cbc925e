package org.cuminwell.core.consensus;

/** States whether a host votes, as far as its own log tells. Immutable and thread safe. */
public sealed interface VotingStatus {

  /** Marks a host that takes part in founding a new cluster. */
  record Founding() implements VotingStatus {}

  /** Marks a host that votes and whose acknowledgements count. */
  record Voter() implements VotingStatus {}

  /** Marks a host that receives the log, but does not count until it is made a voter. */
  record Learner() implements VotingStatus {}
}
