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

/** Is something that a gateway has decided to do. Immutable and thread safe. */
public sealed interface GatewayAction {

  /** Reads the body of a request. */
  record ReadBody(RequestId id) implements GatewayAction {}

  /** Answers a request with a failure. */
  record Refuse(RequestId id, Failure failure) implements GatewayAction {}

  /**
   * Sends a request to an endpoint.
   *
   * @param timeout the time left for the request
   * @param firstByteTimeout how long the attempt may show no byte of an answer
   */
  record SendToEndpoint(
      RequestId id,
      int attempt,
      EndpointId endpoint,
      HostAddress address,
      Duration timeout,
      Duration firstByteTimeout)
      implements GatewayAction {}

  /** Does something about a forwarded request. */
  record Forward(ForwardAction action) implements GatewayAction {}

  /** Answers a resent call with what the first one was answered. */
  record Replay(RequestId id, CallOutcome.Answered answer) implements GatewayAction {}

  /** Answers with the names of the models. */
  record AnswerModels(RequestId id, List<String> models) implements GatewayAction {
    /** Copies the list. */
    public AnswerModels {
      models = List.copyOf(models);
    }
  }

  /** Answers with the entry hosts to use, best first. */
  record AnswerEntryHosts(RequestId id, List<HostDescription> hosts) implements GatewayAction {
    /** Copies the list. */
    public AnswerEntryHosts {
      hosts = List.copyOf(hosts);
    }
  }

  /** Sends a message to another process of the system. */
  record SendToPeer(HostId peer, PeerMessage message) implements GatewayAction {}

  /** Keeps a connection to the address from now on. */
  record Dial(HostAddress address) implements GatewayAction {}

  /** Lets the connection to the address go once it is lost. */
  record StopReconnecting(HostAddress address) implements GatewayAction {}

  /** Writes the configuration to the disk, if there is one. */
  record StoreConfiguration(Configuration configuration) implements GatewayAction {}

  /** Cuts an answer that has begun and ends it with the failure in its place. */
  record CancelCall(RequestId id, Failure failure) implements GatewayAction {}

  /** Records a request that has ended. */
  record RecordCall(RequestId id, CallRecord callRecord) implements GatewayAction {}

  /** Takes no new connections any more; those that are open go on. */
  record CloseListener() implements GatewayAction {}

  /** Writes down a step of the stop. */
  record LogStop(StopLogEvent event) implements GatewayAction {}

  /** Says that all running requests have ended after a stop was asked for. */
  record StopCompleted() implements GatewayAction {}
}
