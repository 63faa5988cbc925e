package org.cuminwell.core.consensus;

import java.util.List;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Is something that a replica has decided to do. Immutable and thread safe. */
public sealed interface ReplicaAction<C, S> {

  /** Sends a message, which may be lost. */
  record Send<C, S>(HostId to, ConsensusMessage<C, S> message) implements ReplicaAction<C, S> {}

  /** Changes the disk; the writes are made in the order of their sequence numbers. */
  sealed interface Write<C, S> extends ReplicaAction<C, S> {

    /** Returns the number by which {@link ReplicaEvent.Persisted} acknowledges the write. */
    long sequence();
  }

  /** Replaces the hard state and puts entries in the log; the first displaces all from it on. */
  record Append<C, S>(long sequence, HardState hardState, List<LogEntry<C>> entries)
      implements Write<C, S> {
    /** Copies the list. */
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /** Replaces all that is on the disk. */
  record Replace<C, S>(long sequence, DurableState<C, S> durable) implements Write<C, S> {}

  /** Applies the next committed entry to the replicated state. */
  record Apply<C, S>(LogEntry<C> entry) implements ReplicaAction<C, S> {}

  /** Replaces the replicated state by a later one. */
  record Restore<C, S>(Snapshot<S> snapshot) implements ReplicaAction<C, S> {}

  /** Tells the place that a proposed command got; it is not yet committed. */
  record Placed<C, S>(RequestId id, long index, long term) implements ReplicaAction<C, S> {}

  /** Tells that a proposed command got no place, since this replica does not lead. */
  record NotPlaced<C, S>(RequestId id) implements ReplicaAction<C, S> {}
}
