package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.List;
import org.cuminwell.core.forward.OpenRequest;

/** Describes one step of a gateway's graceful stop, for the log. Immutable and thread safe. */
public sealed interface StopLogEvent {

  /** Returns the time since the stop was requested. */
  Duration elapsed();

  /**
   * Reports that a stop was requested.
   *
   * @param openRequests how many requests are open
   * @param gracePeriod how long they may still take
   */
  record Requested(int openRequests, Duration gracePeriod) implements StopLogEvent {
    @Override
    public Duration elapsed() {
      return Duration.ZERO;
    }
  }

  /** Reports that new requests are refused from now on. */
  record Refusing(int openRequests, Duration elapsed) implements StopLogEvent {}

  /** Reports that the requests were aborted because the grace period is over. */
  record RequestsAborted(List<OpenRequest> requests, Duration elapsed) implements StopLogEvent {
    /** Copies the list. */
    public RequestsAborted {
      requests = List.copyOf(requests);
    }
  }

  /** Reports that no request is open any more. */
  record Idle(Duration elapsed) implements StopLogEvent {}
}
