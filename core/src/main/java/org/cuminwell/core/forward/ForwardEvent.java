package org.cuminwell.core.forward;

import java.time.Duration;
import org.cuminwell.core.model.RequestId;

/** Is something that happened to a forwarded request. Immutable and thread safe. */
public sealed interface ForwardEvent {

  /** A request has come whole. */
  record RequestReceived(ForwardRequest head) implements ForwardEvent {}

  /** The headers of an endpoint's answer have come. */
  record ResponseHeadReceived(RequestId id, int attempt, ResponseHead head)
      implements ForwardEvent {}

  /** The first part of the answer's body has gone to the caller. */
  record BodyStarted(RequestId id) implements ForwardEvent {}

  /**
   * Some events of a streamed answer have come.
   *
   * @param meanGap the mean time between them
   */
  record EventGapMeasured(RequestId id, int attempt, Duration meanGap) implements ForwardEvent {}

  /** An attempt has ended. */
  record AttemptEnded(RequestId id, int attempt, ForwardAttemptOutcome outcome)
      implements ForwardEvent {}

  /** The caller went away before its answer began. */
  record CallerDisconnected(RequestId id) implements ForwardEvent {}
}
