package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;

/** Writes down the decisions of a {@link Forwarder}. Stateless and thread safe. */
final class ForwardNotes {

  private ForwardNotes() {}

  static ForwardAction sent(ForwardedCall call, EndpointChoice.Target target, Instant now) {
    return of(
        call,
        new ForwardLogEvent.Sent(
            call.attempts(),
            target.announcement().endpoint(),
            target.relay(),
            Duration.between(target.heardAt(), now),
            target.outOf(),
            Duration.between(now, call.deadline())));
  }

  static ForwardAction attemptFailed(ForwardedCall call, Failure failure) {
    return of(call, new ForwardLogEvent.AttemptFailed(call.attempts(), failure));
  }

  static ForwardAction ended(
      ForwardedCall call, CallRecord record, Forwarder.Context context, Instant now) {
    return of(
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

  /** Writes down a request that was refused before it was taken in. */
  static ForwardAction refused(
      ForwardRequest head,
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
            Duration.between(head.arrivedAt(), now),
            Optional.empty(),
            context.revision(),
            context.age(now),
            failure);
    return new ForwardAction.Log(head.id(), head.callerId(), event);
  }

  private static ForwardAction of(ForwardedCall call, ForwardLogEvent event) {
    return new ForwardAction.Log(call.id(), call.head().callerId(), event);
  }
}
