package org.cuminwell.core.consensus;

import org.cuminwell.core.model.HostId;

/** Is what one entry of the log carries. Immutable and thread safe. */
public sealed interface EntryContent<C> {

  /** Opens the term of a leader, so that entries of earlier terms can be committed. */
  record NoOp<C>() implements EntryContent<C> {}

  /** Carries a command for the replicated state. */
  record Proposed<C>(C command) implements EntryContent<C> {}

  /**
   * Lets a host that came with an empty disk vote again.
   *
   * @param incarnation the number that the host drew for this disk
   */
  record Admit<C>(HostId host, long incarnation) implements EntryContent<C> {}
}
