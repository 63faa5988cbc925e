package org.cuminwell.core.control;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.ticket.TicketAnswer;

/** Is something that a control host has decided to do. Immutable and thread safe. */
public sealed interface ControlAction {

  /** Answers the operator who submitted a ticket. */
  record AnswerTicket(RequestId id, TicketAnswer answer) implements ControlAction {}

  /** Sends a message to another process of the system. */
  record TellPeer(HostId peer, PeerMessage message) implements ControlAction {}

  /** Shows the state to operators. */
  record Show(ControlView view) implements ControlAction {}
}
