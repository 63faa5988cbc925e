package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;

/** Describes an action that a gateway has decided to take. Immutable and thread safe. */
public sealed interface GatewayAction {

  /** Reads the body of a request. */
  record ReadBody(RequestId id) implements GatewayAction {}

  /** Responds to a request with a failure. */
  record Refuse(RequestId id, Failure failure) implements GatewayAction {}

  /**
   * Sends a request to an endpoint.
   *
   * @param attempt the number of the attempt, counted from 1
   * @param timeout the time until the deadline of the request
   * @param firstByteTimeout the maximum time until the first byte of the response
   */
  record SendToEndpoint(
      RequestId id,
      int attempt,
      EndpointId endpoint,
      HostAddress address,
      Duration timeout,
      Duration firstByteTimeout)
      implements GatewayAction {}

  /** Takes an action on a forwarded request. */
  record Forward(ForwardAction action) implements GatewayAction {}

  /** Responds to a repeated call with the stored response to the first one. */
  record Replay(RequestId id, CallOutcome.Answered response) implements GatewayAction {}

  /** Responds with the names of the models. */
  record ListModels(RequestId id, List<String> models) implements GatewayAction {
    /** Copies the list. */
    public ListModels {
      models = List.copyOf(models);
    }
  }

  /** Responds with the entry hosts that the caller should use, best first. */
  record ListEntryHosts(RequestId id, List<HostDescription> hosts) implements GatewayAction {
    /** Copies the list. */
    public ListEntryHosts {
      hosts = List.copyOf(hosts);
    }
  }

  /** Sends a message to another process of the system. */
  record SendToPeer(HostId peer, PeerMessage message) implements GatewayAction {}

  /** Connects to the address, and reconnects whenever the connection is lost. */
  record Dial(HostAddress address) implements GatewayAction {}

  /** Stops reconnecting to the address; an open connection stays until it is lost. */
  record StopReconnecting(HostAddress address) implements GatewayAction {}

  /** Stores the configuration on disk, if the host has one. */
  record StoreConfiguration(Configuration configuration) implements GatewayAction {}

  /** Aborts a response that has started, and ends it with the failure. */
  record CancelCall(RequestId id, Failure failure) implements GatewayAction {}

  /** Updates the metrics with a request that has ended. */
  record RecordCall(RequestId id, CallRecord callRecord) implements GatewayAction {}

  /** Closes the listener for new connections; open ones stay. */
  record CloseListener() implements GatewayAction {}

  /** Writes a step of the graceful stop to the log. */
  record LogStop(StopLogEvent event) implements GatewayAction {}

  /** Reports that all requests have ended after a stop was requested. */
  record StopCompleted() implements GatewayAction {}
}
