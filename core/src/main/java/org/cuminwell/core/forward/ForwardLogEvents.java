package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;

/** Creates the log events of a {@link Forwarder}. Stateless and thread safe. */
final class ForwardLogEvents {

  private ForwardLogEvents() {}

  static ForwardAction sent(ForwardedCall call, EndpointSelector.Target target, Instant now) {
    return logAction(
        call,
        new ForwardLogEvent.Sent(
            call.attempts(),
            target.announcement().endpoint(),
            target.relay(),
            Duration.between(target.lastAnnouncedAt(), now),
            target.candidateCount(),
            Duration.between(now, call.deadline()),
            Duration.between(call.request().arrivedAt(), now),
            call.priority()));
  }

  static ForwardAction attemptFailed(
      ForwardedCall call, Failure failure, boolean connectionLost, Instant now) {
    Announcement endpoint = call.endpoint().orElseThrow();
    return logAction(
        call,
        new ForwardLogEvent.AttemptFailed(
            call.attempts(),
            failure,
            endpoint.endpoint(),
            endpoint.incarnation(),
            call.attemptElapsed(now),
            call.attemptResponding(now),
            connectionLost,
            connectionLost ? call.traits() : List.of()));
  }

  static ForwardAction endpointLeaving(ForwardedCall call, EndpointIncarnation endpoint) {
    return logAction(
        call,
        new ForwardLogEvent.EndpointLeaving(
            call.attempts(), endpoint.endpoint(), endpoint.incarnation()));
  }

  static ForwardAction ended(
      ForwardedCall call, CallRecord record, Forwarder.Context context, Instant now) {
    return logAction(
        call,
        new ForwardLogEvent.Ended(
            record.route(),
            record.customer(),
            record.attempts(),
            record.duration(),
            record.timeToFirstByte(),
            context.revision(),
            context.age(now),
            record.failure()));
  }

  /** Creates the log event of a request that was refused before any limit was charged. */
  static ForwardAction refused(
      ForwardRequest request,
      Optional<ForwardRoute> route,
      Optional<Customer> customer,
      Optional<Failure> failure,
      Forwarder.Context context,
      Instant now) {
    ForwardLogEvent event =
        new ForwardLogEvent.Ended(
            route.map(ForwardRoute::id),
            customer.map(Customer::id),
            0,
            Duration.between(request.arrivedAt(), now),
            Optional.empty(),
            context.revision(),
            context.age(now),
            failure);
    return new ForwardAction.Log(request.id(), request.callerRequestId(), event);
  }

  private static ForwardAction logAction(ForwardedCall call, ForwardLogEvent event) {
    return new ForwardAction.Log(call.id(), call.request().callerRequestId(), event);
  }
}
