package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.RequestPriority;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RouteId;

/**
 * Records one decision about a forwarded request and the values that it was based on, for the
 * request log.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ForwardLogEvent {

  /**
   * Reports that the request was sent to an endpoint.
   *
   * @param announcementAge the time since the endpoint's last announcement
   * @param candidateCount the number of endpoints among which this one was selected
   * @param waited the time since the request arrived
   */
  record Sent(
      int attempt,
      EndpointId endpoint,
      Optional<HostAddress> relay,
      Duration announcementAge,
      int candidateCount,
      Duration timeLeft,
      Duration waited,
      RequestPriority priority)
      implements ForwardLogEvent {}

  /**
   * Reports that an attempt gave no response that could be passed to the caller.
   *
   * @param endpoint the endpoint of the attempt
   * @param incarnation the incarnation of the endpoint
   * @param elapsed the time since the attempt was sent
   * @param responding the time since its response body started; empty if it had not
   * @param connectionLost whether the endpoint's connection ended
   * @param traits the traits of the request that may have crashed the endpoint
   */
  record AttemptFailed(
      int attempt,
      Failure failure,
      EndpointId endpoint,
      long incarnation,
      Duration elapsed,
      Optional<Duration> responding,
      boolean connectionLost,
      List<Trait> traits)
      implements ForwardLogEvent {}

  /** Reports that the response to the request said that its endpoint leaves. */
  record EndpointLeaving(int attempt, EndpointId endpoint, long incarnation)
      implements ForwardLogEvent {}

  /**
   * Reports that the request has ended.
   *
   * @param configurationAge the time since the configuration was last confirmed as the latest
   * @param failure why there was no complete response
   */
  record Ended(
      Optional<RouteId> route,
      Optional<CustomerId> customer,
      int attempts,
      Duration duration,
      Optional<Duration> timeToFirstByte,
      Revision revision,
      Duration configurationAge,
      Optional<Failure> failure)
      implements ForwardLogEvent {}

  /**
   * Returns whether the event is logged for each request: a failure, a retry that follows from one,
   * or news of an endpoint.
   */
  default boolean isAlwaysLogged() {
    return switch (this) {
      case Sent n -> n.attempt() > 1;
      case AttemptFailed n -> true;
      case EndpointLeaving n -> true;
      case Ended n -> n.failure().isPresent();
    };
  }
}
