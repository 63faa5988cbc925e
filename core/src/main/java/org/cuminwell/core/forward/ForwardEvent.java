package org.cuminwell.core.forward;

import java.time.Duration;
import org.cuminwell.core.model.RequestId;

/**
 * Represents an event in the life of a forwarded request, as the front end reports it. Immutable
 * and thread safe.
 */
public sealed interface ForwardEvent {

  /**
   * Reports that a request has been received, body included.
   *
   * @param contentHash a hash of the method, the query and the body
   */
  record RequestReceived(ForwardRequest request, long contentHash) implements ForwardEvent {}

  /** Reports that the status and headers of an endpoint's response have been received. */
  record ResponseHeadReceived(RequestId id, int attempt, ResponseHead head)
      implements ForwardEvent {}

  /** Reports that the endpoint of an attempt has said that it leaves. */
  record EndpointLeaving(RequestId id, int attempt) implements ForwardEvent {}

  /** Reports that the first part of the response body was passed to the caller. */
  record BodyStarted(RequestId id) implements ForwardEvent {}

  /**
   * Reports the pace of a streamed response, measured over some of its events.
   *
   * @param meanGap the mean time between these events
   */
  record EventGapMeasured(RequestId id, int attempt, Duration meanGap) implements ForwardEvent {}

  /**
   * Reports that the endpoint of an attempt has sent nothing for the time that {@link
   * ForwardAction.Send} names; repeated while it goes on.
   */
  record EndpointSilent(RequestId id, int attempt) implements ForwardEvent {}

  /** Reports that an attempt has ended. */
  record AttemptEnded(RequestId id, int attempt, ForwardAttemptOutcome outcome)
      implements ForwardEvent {}

  /** Reports that the caller disconnected before the response started. */
  record CallerDisconnected(RequestId id) implements ForwardEvent {}
}
