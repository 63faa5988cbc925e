package org.cuminwell.core.control;

import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.ticket.TicketAnswer;

/** Is something that a control host has decided to do. Immutable and thread safe. */
public sealed interface ControlAction {

  /** Answers the operator who submitted a ticket. */
  record AnswerTicket(RequestId id, TicketAnswer answer) implements ControlAction {}

  /**
   * Tells the operator that the ticket has no answer; the verdict says whether it may yet stand.
   */
  record FailTicket(RequestId id, Failure failure) implements ControlAction {}

  /** Changes the journal and tells when that is synced, in the order of sequence numbers. */
  record WriteJournal(ReplicaAction.Write<Command, StateSnapshot> write) implements ControlAction {}

  /** Sends a message to another process of the system. */
  record TellPeer(HostId peer, PeerMessage message) implements ControlAction {}

  /** Shows the state to operators. */
  record Show(ControlView view) implements ControlAction {}
}
