package org.cuminwell.core.consensus;

import java.util.List;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Represents an action that a replica asks its owner to perform. Immutable and thread safe. */
public sealed interface ReplicaAction<C, S> {

  /** Sends a message, which may be lost. */
  record Send<C, S>(HostId to, ConsensusMessage<C, S> message) implements ReplicaAction<C, S> {}

  /** Writes to disk. Writes must be performed in the order of their sequence numbers. */
  sealed interface Write<C, S> extends ReplicaAction<C, S> {

    /** Returns the number by which {@link ReplicaEvent.Persisted} acknowledges the write. */
    long sequence();
  }

  /**
   * Replaces the hard state and appends entries. Existing entries from the first new index on are
   * removed.
   */
  record Append<C, S>(long sequence, HardState hardState, List<LogEntry<C>> entries)
      implements Write<C, S> {
    /** Copies the list. */
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /** Replaces the whole durable state. */
  record Replace<C, S>(long sequence, DurableState<C, S> durable) implements Write<C, S> {}

  /** Applies the next committed entry to the replicated state. */
  record Apply<C, S>(LogEntry<C> entry) implements ReplicaAction<C, S> {}

  /** Replaces the replicated state with that of a snapshot. */
  record Restore<C, S>(Snapshot<S> snapshot) implements ReplicaAction<C, S> {}

  /**
   * Reports the index and term at which a proposed command was appended. It is not committed yet.
   */
  record ProposalAppended<C, S>(RequestId id, long index, long term)
      implements ReplicaAction<C, S> {}

  /** Reports that a proposed command was not appended because this replica does not lead. */
  record ProposalRejected<C, S>(RequestId id) implements ReplicaAction<C, S> {}
}
