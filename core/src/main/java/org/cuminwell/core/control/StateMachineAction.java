package org.cuminwell.core.control;

import java.util.Optional;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Is something that the agreement has decided to do. Immutable and thread safe. */
public sealed interface StateMachineAction {

  /** Sends a message to another control host. */
  record Send(HostId to, StateMachineMessage message) implements StateMachineAction {}

  /** Changes the disk, in the order of sequence numbers. */
  record Write(ReplicaAction.Write<Command, StateSnapshot> write) implements StateMachineAction {}

  /** Answers who submitted a command here. */
  record Answer(RequestId id, CommandOutcome outcome) implements StateMachineAction {}

  /**
   * Tells of a new configuration.
   *
   * @param change what led to it from the one before; empty if it was reached at once from an older
   *     one
   */
  record StateChanged(Configuration configuration, Optional<ConfigurationChange> change)
      implements StateMachineAction {}
}
