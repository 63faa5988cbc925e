package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.RequestId;

/** Is something that was decided about a forwarded request. Immutable and thread safe. */
public sealed interface ForwardAction {

  /**
   * Sends a request to an endpoint.
   *
   * @param relay the gateway that passes it on, where the endpoint takes no connections from here
   * @param timeLeft how long the request may still take
   * @param firstByteTimeout how long the attempt may show no byte of an answer
   * @param streamIdleTimeout how long a begun answer may pause
   * @param customer the customer that it runs for; empty on anonymous routes
   * @param isResumption whether the endpoint goes on after the last event that the caller got
   * @param isResumable whether another endpoint may go on if this attempt breaks off
   */
  record Send(
      RequestId id,
      int attempt,
      EndpointId endpoint,
      HostAddress address,
      Optional<HostAddress> relay,
      Duration timeLeft,
      Duration firstByteTimeout,
      Duration streamIdleTimeout,
      Optional<CustomerId> customer,
      boolean isResumption,
      boolean isResumable)
      implements ForwardAction {}

  /** Passes the answer of the attempt to the caller. */
  record PassAnswer(RequestId id, int attempt) implements ForwardAction {}

  /** Gives the running attempt up; its connection is closed. */
  record CancelAttempt(RequestId id, int attempt) implements ForwardAction {}

  /** Answers the request with a failure. */
  record Refuse(RequestId id, Failure failure) implements ForwardAction {}

  /** Breaks off an answer that has begun, so that the caller sees that it is not whole. */
  record AbortResponse(RequestId id, Failure failure) implements ForwardAction {}

  /**
   * Writes down a decision.
   *
   * @param callerId the name that the caller gave the request
   */
  record Log(RequestId id, String callerId, ForwardLogEvent event) implements ForwardAction {}

  /** Tells that the request has ended, after what answers it. */
  record Ended(RequestId id, CallRecord call) implements ForwardAction {}
}
