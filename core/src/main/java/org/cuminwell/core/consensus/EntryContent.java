package org.cuminwell.core.consensus;

/** Represents the content of a log entry. Immutable and thread safe. */
public sealed interface EntryContent<C> {

  /** Starts a leader's term, so that entries of earlier terms can be committed. */
  record NoOp<C>() implements EntryContent<C> {}

  /** Carries a command for the replicated state. */
  record Proposed<C>(C command) implements EntryContent<C> {}

  /** Replaces the membership; holds from the moment at which a host appends it. */
  record ChangeMembership<C>(Membership membership) implements EntryContent<C> {}
}
