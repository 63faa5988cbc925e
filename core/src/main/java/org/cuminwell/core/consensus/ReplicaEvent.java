package org.cuminwell.core.consensus;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Is something that a replica must decide about. Immutable and thread safe. */
public sealed interface ReplicaEvent<C, S> {

  /** Some time has gone by. */
  record Ticked<C, S>() implements ReplicaEvent<C, S> {}

  /** A message of another replica has come. */
  record Heard<C, S>(HostId from, ConsensusMessage<C, S> message) implements ReplicaEvent<C, S> {}

  /** Every write up to the sequence number is synced. */
  record Persisted<C, S>(long sequence) implements ReplicaEvent<C, S> {}

  /** A command is to get its place in the log. */
  record Propose<C, S>(RequestId id, C command) implements ReplicaEvent<C, S> {}

  /** The state after all applied entries, to stand for them from now on. */
  record Compact<C, S>(S state) implements ReplicaEvent<C, S> {}
}
