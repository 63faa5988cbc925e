package org.cuminwell.core.consensus;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Represents an event that a replica handles. Immutable and thread safe. */
public sealed interface ReplicaEvent<C, S> {

  /** Reports that the timer has fired. */
  record Ticked<C, S>() implements ReplicaEvent<C, S> {}

  /** Reports that a message of another replica was received. */
  record MessageReceived<C, S>(HostId from, ConsensusMessage<C, S> message)
      implements ReplicaEvent<C, S> {}

  /** Reports a control host that can be asked to join. */
  record ContactFound<C, S>(HostId host) implements ReplicaEvent<C, S> {}

  /** Reports that every write up to the sequence number is durable. */
  record Persisted<C, S>(long sequence) implements ReplicaEvent<C, S> {}

  /** Requests that a command be appended to the log. */
  record Propose<C, S>(RequestId id, C command) implements ReplicaEvent<C, S> {}

  /** Requests that the log be compacted. {@code state} is the state after all applied entries. */
  record Compact<C, S>(S state) implements ReplicaEvent<C, S> {}
}
