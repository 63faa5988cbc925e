package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.Optional;
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

/** Is something that a gateway must decide about. Immutable and thread safe. */
public sealed interface GatewayEvent {

  /** The headers of a request have come. */
  record HeadReceived(CallHead head) implements GatewayEvent {}

  /** The body of a request has come whole. */
  record BodyReceived(CallBody body) implements GatewayEvent {}

  /** The caller went away, or its body was bad, before anything was sent. */
  record CallAborted(RequestId id) implements GatewayEvent {}

  /** The first part of an answer is about to go to the caller. */
  record ResponseStarted(RequestId id, int attempt) implements GatewayEvent {}

  /** An attempt at an endpoint has ended. */
  record AttemptEnded(RequestId id, int attempt, AttemptOutcome end) implements GatewayEvent {}

  /** The whole answer to a call with an Idempotency-Key has come; its attempt ends next. */
  record ReplayableResponseReceived(RequestId id, int attempt, CallOutcome outcome)
      implements GatewayEvent {}

  /** Something happened to a forwarded request. */
  record Forwarded(ForwardEvent event) implements GatewayEvent {}

  /** A caller asks which models there are. */
  record ModelsRequested(RequestId id, Optional<KeyHash> key) implements GatewayEvent {}

  /** A caller asks which entry hosts to use. */
  record EntryHostsRequested(RequestId id, Optional<KeyHash> key, Optional<RouteId> route)
      implements GatewayEvent {}

  /** An endpoint has announced itself. */
  record EndpointAnnounced(Announcement announcement) implements GatewayEvent {}

  /** An endpoint has reported its load. */
  record EndpointReported(LoadReport report) implements GatewayEvent {}

  /** An endpoint has said that it leaves. */
  record EndpointLeaving(EndpointId endpoint, long incarnation) implements GatewayEvent {}

  /** A process of the system can be reached. */
  record PeerConnected(HostId peer) implements GatewayEvent {}

  /** A process of the system can't be reached any more. */
  record PeerDisconnected(HostId peer) implements GatewayEvent {}

  /** A message of another process has come. */
  record PeerMessageReceived(HostId peer, PeerMessage message) implements GatewayEvent {}

  /** Some time has gone by. */
  record Ticked() implements GatewayEvent {}

  /**
   * A graceful shutdown has been asked for.
   *
   * @param gracePeriod how long running requests may take from now on
   */
  record StopRequested(Duration gracePeriod) implements GatewayEvent {}
}
