package org.cuminwell.core.control;

import java.util.OptionalLong;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.ticket.Ticket;

/** Is something that a control host must decide about. Immutable and thread safe. */
public sealed interface ControlEvent {

  /** An operator has submitted a ticket. */
  record TicketSubmitted(RequestId id, Ticket ticket) implements ControlEvent {}

  /** An operator has submitted a whole configuration. */
  record ConfigurationSubmitted(RequestId id, ConfigurationDocument document, Configuration content)
      implements ControlEvent {}

  /**
   * An operator asks that the endpoints of a data centre get no requests, or that they do again.
   */
  record EvacuationSubmitted(RequestId id, DataCentreId dataCentre, boolean evacuated)
      implements ControlEvent {}

  /** An operator asks to move a service to another version. */
  record RolloutSubmitted(RequestId id, RolloutOrder order) implements ControlEvent {}

  /** An operator asks how the last version rollout of a service stands. */
  record RolloutQueried(RequestId id, String service) implements ControlEvent {}

  /** An operator asks for the latest configuration as it was submitted. */
  record ConfigurationQueried(RequestId id) implements ControlEvent {}

  /** An endpoint has announced itself. */
  record EndpointAnnounced(Announcement announcement) implements ControlEvent {}

  /**
   * An endpoint has said that it leaves.
   *
   * @param incarnation the life that ends; empty if it is the one known now
   */
  record EndpointLeaving(EndpointId endpoint, OptionalLong incarnation) implements ControlEvent {}

  /** Every journal write up to the sequence number is synced. */
  record JournalSynced(long sequence) implements ControlEvent {}

  /** A process of the system can be reached. */
  record PeerConnected(HostId peer) implements ControlEvent {}

  /** A process of the system can't be reached any more. */
  record PeerDisconnected(HostId peer) implements ControlEvent {}

  /** A message of another process has come. */
  record PeerMessageReceived(HostId peer, PeerMessage message) implements ControlEvent {}

  /** Some time has gone by. */
  record Ticked() implements ControlEvent {}
}
