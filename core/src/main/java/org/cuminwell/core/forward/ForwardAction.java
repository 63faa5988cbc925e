package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RequestPriority;

/**
 * Represents an action that the {@link Forwarder} has decided on for a forwarded request. Immutable
 * and thread safe.
 */
public sealed interface ForwardAction {

  /**
   * Sends an attempt of a request to an endpoint.
   *
   * @param attempt the number of the attempt, counted from 1
   * @param incarnation the incarnation of the endpoint
   * @param relay the gateway that relays the request, if the endpoint is in another region
   * @param timeLeft the time until the deadline of the request
   * @param firstByteTimeout the silence before the response that is reported
   * @param streamIdleTimeout the silence within a resumable stream that is reported
   * @param customer the customer whose key the request has; empty on anonymous routes, whose
   *     requests are charged to no customer even if they have a key
   * @param isResumption whether the endpoint continues after the last event that the caller
   *     received
   * @param isStream whether the response is a stream of events
   * @param isResumable whether another endpoint may continue if this attempt breaks off
   * @param isRepeatable whether the request may run more than once
   * @param priority the priority that the endpoint is told
   */
  record Send(
      RequestId id,
      int attempt,
      EndpointId endpoint,
      long incarnation,
      HostAddress address,
      Optional<HostAddress> relay,
      Duration timeLeft,
      Duration firstByteTimeout,
      Duration streamIdleTimeout,
      Optional<CustomerId> customer,
      boolean isResumption,
      boolean isStream,
      boolean isResumable,
      boolean isRepeatable,
      RequestPriority priority)
      implements ForwardAction {}

  /**
   * Passes the response of the attempt on to the caller.
   *
   * @param hidesRefusal whether its status is replaced by one that does not say that the request
   *     has not run
   */
  record PassResponse(RequestId id, int attempt, boolean hidesRefusal) implements ForwardAction {}

  /** Cancels the running attempt and closes its connection. */
  record CancelAttempt(RequestId id, int attempt) implements ForwardAction {}

  /** Responds to the request with a failure, also if an attempt may have run. */
  record Refuse(RequestId id, Failure failure) implements ForwardAction {}

  /** Aborts a response that has started, so that the caller can tell that it is incomplete. */
  record AbortResponse(RequestId id, Failure failure) implements ForwardAction {}

  /**
   * Logs an event of the request.
   *
   * @param callerRequestId the request ID that the caller sent
   */
  record Log(RequestId id, String callerRequestId, ForwardLogEvent event)
      implements ForwardAction {}

  /** Reports that the request has ended; this is the last action but for log events. */
  record Ended(RequestId id, CallRecord callRecord) implements ForwardAction {}
}
