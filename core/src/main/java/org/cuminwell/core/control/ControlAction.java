package org.cuminwell.core.control;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.duty.DutyLogEvent;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.ticket.TicketAnswer;

/** Represents an action that a control host has decided to perform. Immutable and thread safe. */
public sealed interface ControlAction {

  /** Answers the operator who submitted a ticket. */
  record AnswerTicket(RequestId id, TicketAnswer answer) implements ControlAction {}

  /** Answers the operator's request with the given id. */
  sealed interface Answer extends ControlAction {

    /** Returns the id of the request. */
    RequestId id();
  }

  /** Reports to the operator which version of the configuration is in force now. */
  record AnswerReplaced(RequestId id, long version) implements Answer {}

  /** Reports to the operator that the order is carried out. */
  record AnswerCarriedOut(RequestId id) implements Answer {}

  /** Returns the progress of a service's last rollout to the operator; empty if there was none. */
  record AnswerRollout(RequestId id, Optional<RolloutProgress> progress) implements Answer {}

  /** Returns the configuration to the operator as it was submitted. */
  record AnswerConfiguration(RequestId id, ConfigurationDocument document) implements Answer {}

  /**
   * Answers an operator's request, of any kind, with a failure. The verdict says whether the
   * request may still take effect.
   */
  record AnswerFailure(RequestId id, Failure failure) implements Answer {}

  /**
   * Writes to the journal, in the order of sequence numbers, and reports when the write is synced.
   */
  record WriteJournal(ReplicaAction.Write<Command, StateSnapshot> write) implements ControlAction {}

  /**
   * Connects to the control hosts at these addresses, one of which is this host's own, and
   * reconnects whenever a connection is lost.
   */
  record DialControlHosts(Set<HostAddress> addresses) implements ControlAction {
    /** Copies the set. */
    public DialControlHosts {
      addresses = Set.copyOf(addresses);
    }
  }

  /** Sends a message to another process of the system. */
  record SendToPeer(HostId peer, PeerMessage message) implements ControlAction {}

  /** Logs the outcome of an operator's order. */
  record LogOrder(OrderDecision decision) implements ControlAction {}

  /** Makes a call to the platform's API, unless it can't be sent before {@code startBefore}. */
  record CallPlatform(DutyCall call, Instant startBefore) implements ControlAction {}

  /** Logs an event about a duty. */
  record LogDuty(DutyLogEvent event) implements ControlAction {}

  /** Publishes a new view of the state to operators. */
  record PublishView(ControlView view) implements ControlAction {}
}
