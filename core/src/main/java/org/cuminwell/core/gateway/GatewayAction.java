package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.crash.CrashLogEvent;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.limit.ShareLogEvent;
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

  /**
   * Responds to a request with a failure, before any other response has started. The verdict of the
   * failure says whether the request may have run.
   */
  record Refuse(RequestId id, Failure failure) implements GatewayAction {}

  /**
   * Sends a request to an endpoint. Requests that are forwarded unchanged are sent by {@link
   * ForwardAction.Send} instead.
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

  /**
   * Carries out an action that the forwarder decided on for a request that it forwards unchanged.
   */
  record Forward(ForwardAction action) implements GatewayAction {}

  /**
   * Responds to a request that repeats an Idempotency-Key with the stored response to the first.
   */
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

  /** Stores the configuration on disk, if this host has a configuration file. */
  record StoreConfiguration(Configuration configuration) implements GatewayAction {}

  /** Aborts a response that has started, and ends it with the failure. */
  record AbortResponse(RequestId id, Failure failure) implements GatewayAction {}

  /** Updates the metrics with a request that has ended. */
  record RecordCall(RequestId id, CallRecord callRecord) implements GatewayAction {}

  /** Closes the listener for new connections; open ones stay. */
  record CloseListener() implements GatewayAction {}

  /** Logs a step of the graceful stop. */
  record LogStopProgress(StopLogEvent event) implements GatewayAction {}

  /** Logs a change in what this gateway believes about crashes of endpoints. */
  record LogCrashEvidence(CrashLogEvent event) implements GatewayAction {}

  /** Logs a change in which shares this gateway may use. */
  record LogShares(ShareLogEvent event) implements GatewayAction {}

  /** Reports that all requests have ended after a stop was requested. */
  record ReportStopCompleted() implements GatewayAction {}
}
