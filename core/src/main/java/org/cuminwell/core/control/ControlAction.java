package org.cuminwell.core.control;

import java.util.Optional;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.ticket.TicketAnswer;

/** Is something that a control host has decided to do. Immutable and thread safe. */
public sealed interface ControlAction {

  /** Answers the operator who submitted a ticket. */
  record AnswerTicket(RequestId id, TicketAnswer answer) implements ControlAction {}

  /** Answers whoever asked under the id. */
  sealed interface Answer extends ControlAction {

    /** Returns the id under which was asked. */
    RequestId id();
  }

  /** Tells the operator which version of the configuration is in force now. */
  record AnswerReplaced(RequestId id, long version) implements Answer {}

  /** Tells the operator that the evacuation has begun or ended. */
  record AnswerEvacuated(RequestId id) implements Answer {}

  /** Tells the operator that the order of a version rollout stands. */
  record AnswerRolloutBegun(RequestId id) implements Answer {}

  /** Tells the operator how the last version rollout of a service stands, if there was one. */
  record AnswerRollout(RequestId id, Optional<RolloutProgress> progress) implements Answer {}

  /** Gives the operator the configuration as it was submitted. */
  record AnswerConfiguration(RequestId id, ConfigurationDocument document) implements Answer {}

  /**
   * Tells the operator that the ticket has no answer; the verdict says whether it may yet stand.
   */
  record AnswerFailure(RequestId id, Failure failure) implements Answer {}

  /** Changes the journal and tells when that is synced, in the order of sequence numbers. */
  record WriteJournal(ReplicaAction.Write<Command, StateSnapshot> write) implements ControlAction {}

  /** Sends a message to another process of the system. */
  record SendToPeer(HostId peer, PeerMessage message) implements ControlAction {}

  /** Shows the state to operators. */
  record PublishView(ControlView view) implements ControlAction {}
}
