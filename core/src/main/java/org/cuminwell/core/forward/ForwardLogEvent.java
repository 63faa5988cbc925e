package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RouteId;

/**
 * Tells one decision about a forwarded request and what decided it, for those who ask afterwards.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ForwardLogEvent {

  /**
   * The request was sent to an endpoint.
   *
   * @param announcementAge how long ago the endpoint was last heard
   * @param candidateCount how many endpoints could have taken it
   */
  record Sent(
      int attempt,
      EndpointId endpoint,
      Optional<HostAddress> relay,
      Duration announcementAge,
      int candidateCount,
      Duration timeLeft)
      implements ForwardLogEvent {}

  /** An attempt gave no answer that could be passed on. */
  record AttemptFailed(int attempt, Failure failure) implements ForwardLogEvent {}

  /**
   * The request has ended.
   *
   * @param configurationAge how long ago the configuration was last known to be the latest
   * @param failure why there was no whole answer
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

  /** Returns whether the note tells of a failure. */
  default boolean isFailure() {
    return switch (this) {
      case Sent n -> n.attempt() > 1;
      case AttemptFailed n -> true;
      case Ended n -> n.failure().isPresent();
    };
  }
}
