package org.cuminwell.core.control;

import java.util.OptionalLong;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.ticket.Ticket;

/** Represents an event that a control host handles. Immutable and thread safe. */
public sealed interface ControlEvent {

  /** Reports that an operator has submitted a ticket. */
  record TicketSubmitted(RequestId id, Ticket ticket) implements ControlEvent {}

  /** Reports that an operator has submitted a whole configuration. */
  record ConfigurationSubmitted(RequestId id, ConfigurationDocument document, Configuration content)
      implements ControlEvent {}

  /** Reports that an operator has submitted an order. */
  record OrderSubmitted(RequestId id, OperatorOrder order, RequestAge age)
      implements ControlEvent {}

  /** Reports that an operator asks for the progress of the last rollout of a service. */
  record RolloutQueried(RequestId id, String service) implements ControlEvent {}

  /** Reports that an operator asks for the latest configuration as it was submitted. */
  record ConfigurationQueried(RequestId id) implements ControlEvent {}

  /** Reports that an endpoint has announced itself. */
  record EndpointAnnounced(Announcement announcement, RequestAge age) implements ControlEvent {}

  /** Reports that an incarnation of an endpoint is shutting down. */
  record EndpointLeaving(EndpointId endpoint, long incarnation) implements ControlEvent {}

  /**
   * Reports that an endpoint has asked to be taken out of use.
   *
   * @param incarnation the incarnation that asks; empty if the request doesn't tell, which then
   *     means the one that is known when the request arrives
   */
  record DepartureRequested(
      RequestId id, EndpointId endpoint, OptionalLong incarnation, RequestAge age)
      implements ControlEvent {}

  /** Reports that every journal write up to the sequence number is synced. */
  record JournalSynced(long sequence) implements ControlEvent {}

  /** Reports that a connection to another process of the system is established. */
  record PeerConnected(HostId peer) implements ControlEvent {}

  /** Reports that the connection to another process of the system is lost. */
  record PeerDisconnected(HostId peer) implements ControlEvent {}

  /** Reports that a message of another process was received. */
  record PeerMessageReceived(HostId peer, PeerMessage message) implements ControlEvent {}

  /** Reports how a call to the platform's API ended. */
  record DutyCallEnded(DutyCall call, DutyCall.Result result) implements ControlEvent {}

  /** Reports that the timer has fired. */
  record Ticked() implements ControlEvent {}
}
