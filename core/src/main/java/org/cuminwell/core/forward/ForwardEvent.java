package org.cuminwell.core.forward;

import java.time.Duration;
import org.cuminwell.core.model.RequestId;

/** Is something that happened to a forwarded request. Immutable and thread safe. */
public sealed interface ForwardEvent {

  /** A request has come whole. */
  record Opened(ForwardHead head) implements ForwardEvent {}

  /** The headers of an endpoint's answer have come. */
  record AnswerCame(RequestId id, int attempt, AnswerHead head) implements ForwardEvent {}

  /** The first part of the answer's body has gone to the caller. */
  record BodyBegan(RequestId id) implements ForwardEvent {}

  /**
   * Some events of a streamed answer have come.
   *
   * @param pause the mean time between them
   */
  record EventsCame(RequestId id, int attempt, Duration pause) implements ForwardEvent {}

  /** An attempt has ended. */
  record AttemptEnded(RequestId id, int attempt, ForwardEnd end) implements ForwardEvent {}

  /** The caller went away before its answer began. */
  record CallerLeft(RequestId id) implements ForwardEvent {}
}
