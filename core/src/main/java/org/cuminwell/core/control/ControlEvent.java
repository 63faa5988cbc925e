package org.cuminwell.core.control;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.ticket.Ticket;

/** Is something that a control host must decide about. Immutable and thread safe. */
public sealed interface ControlEvent {

  /** An operator has submitted a ticket. */
  record TicketSubmitted(RequestId id, Ticket ticket) implements ControlEvent {}

  /** Every journal write up to the sequence number is synced. */
  record JournalSynced(long sequence) implements ControlEvent {}

  /** A process of the system can be reached. */
  record PeerConnected(HostId peer) implements ControlEvent {}

  /** A process of the system can't be reached any more. */
  record PeerLost(HostId peer) implements ControlEvent {}

  /** A message of another process has come. */
  record PeerHeard(HostId peer, PeerMessage message) implements ControlEvent {}

  /** Some time has gone by. */
  record Ticked() implements ControlEvent {}
}
