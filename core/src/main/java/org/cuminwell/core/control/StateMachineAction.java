package org.cuminwell.core.control;

import java.util.Optional;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Represents an action that the replicated state machine asks its owner to perform. Immutable and
 * thread safe.
 */
public sealed interface StateMachineAction {

  /** Sends a message to another control host. */
  record Send(HostId to, StateMachineMessage message) implements StateMachineAction {}

  /** Writes to disk. Writes must be performed in the order of their sequence numbers. */
  record Write(ReplicaAction.Write<Command, StateSnapshot> write) implements StateMachineAction {}

  /** Answers a command that was submitted on this host. */
  record Answer(RequestId id, CommandOutcome outcome) implements StateMachineAction {}

  /**
   * Announces a new configuration.
   *
   * @param change the difference from the previous configuration; empty if the state was replaced
   *     by a snapshot
   */
  record StateChanged(Configuration configuration, Optional<ConfigurationChange> change)
      implements StateMachineAction {}
}
