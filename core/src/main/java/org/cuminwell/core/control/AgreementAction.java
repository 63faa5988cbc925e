package org.cuminwell.core.control;

import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/** Is something that the agreement has decided to do. Immutable and thread safe. */
public sealed interface AgreementAction {

  /** Sends a message to another control host. */
  record Tell(HostId to, AgreementMessage message) implements AgreementAction {}

  /** Changes the disk, in the order of sequence numbers. */
  record Write(ReplicaAction.Write<Command, StateSnapshot> write) implements AgreementAction {}

  /** Answers who submitted a command here. */
  record Answer(RequestId id, CommandOutcome outcome) implements AgreementAction {}

  /** Tells that the replicated state is another one now. */
  record StateChanged() implements AgreementAction {}
}
