package org.cuminwell.core.consensus;

import org.cuminwell.core.model.HostId;

/** Represents the content of a log entry. Immutable and thread safe. */
public sealed interface EntryContent<C> {

  /** Starts a leader's term, so that entries of earlier terms can be committed. */
  record NoOp<C>() implements EntryContent<C> {}

  /** Carries a command for the replicated state. */
  record Proposed<C>(C command) implements EntryContent<C> {}

  /**
   * Admits a host that started with an empty disk as a voter.
   *
   * @param incarnation the random number that the host drew for this disk
   */
  record Admit<C>(HostId host, long incarnation) implements EntryContent<C> {}
}
