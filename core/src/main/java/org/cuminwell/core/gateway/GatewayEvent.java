package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.LoadReport;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.peer.PeerMessage;

/** Describes an event that a gateway must handle. Immutable and thread safe. */
public sealed interface GatewayEvent {

  /** Reports that the headers of a request have arrived. */
  record HeadReceived(CallHead head) implements GatewayEvent {}

  /** Reports that the whole body of a request has arrived. */
  record BodyReceived(CallBody body) implements GatewayEvent {}

  /**
   * Reports that the caller disconnected or sent an invalid body before the request was sent to an
   * endpoint.
   */
  record CallAborted(RequestId id) implements GatewayEvent {}

  /** Reports that the first part of a response is about to be sent to the caller. */
  record ResponseStarted(RequestId id, int attempt) implements GatewayEvent {}

  /** Reports that an attempt at an endpoint has ended. */
  record AttemptEnded(RequestId id, int attempt, AttemptOutcome outcome) implements GatewayEvent {}

  /**
   * Reports that the complete response to a call with an Idempotency-Key has arrived; the end of
   * its attempt follows.
   */
  record ReplayableResponseReceived(RequestId id, int attempt, CallOutcome outcome)
      implements GatewayEvent {}

  /** Wraps an event of a forwarded request. */
  record Forwarded(ForwardEvent event) implements GatewayEvent {}

  /** Reports that a caller requests the list of models. */
  record ModelsRequested(RequestId id, Optional<KeyHash> key) implements GatewayEvent {}

  /** Reports that a caller requests the entry hosts to use. */
  record EntryHostsRequested(RequestId id, Optional<KeyHash> key, Optional<RouteId> route)
      implements GatewayEvent {}

  /** Reports that an endpoint has announced itself. */
  record EndpointAnnounced(Announcement announcement) implements GatewayEvent {}

  /** Reports that an endpoint has reported its load. */
  record EndpointReported(LoadReport report) implements GatewayEvent {}

  /** Reports that an endpoint has announced that it is about to stop. */
  record EndpointLeaving(EndpointId endpoint, long incarnation) implements GatewayEvent {}

  /** Reports that an endpoint has said, in a response that this gateway relays, that it leaves. */
  record DepartureObserved(EndpointIncarnation endpoint) implements GatewayEvent {}

  /** Reports that a connection to another process of the system was established. */
  record PeerConnected(HostId peer) implements GatewayEvent {}

  /** Reports that the last connection to another process of the system was lost. */
  record PeerDisconnected(HostId peer) implements GatewayEvent {}

  /** Reports that a message from another process of the system has arrived. */
  record PeerMessageReceived(HostId peer, PeerMessage message) implements GatewayEvent {}

  /** Reports that the timer has ticked, so that periodic work is done and timeouts are checked. */
  record Ticked() implements GatewayEvent {}

  /**
   * Reports that a graceful stop has been requested.
   *
   * @param gracePeriod how long running requests may still take
   */
  record StopRequested(Duration gracePeriod) implements GatewayEvent {}
}
