package org.cuminwell.core.model;

/** States whether a request of a route may run more than once. Immutable and thread safe. */
public sealed interface RetrySemantics {

  /** States that the request may run any number of times. */
  record Idempotent() implements RetrySemantics {}

  /** States that the request may run at most once. */
  record AtMostOnce() implements RetrySemantics {}

  /** States that the response is a stream of events, and that the request may run at most once. */
  record AtMostOnceStream() implements RetrySemantics {}

  /** States that the response is a stream of numbered events that another endpoint can resume. */
  record ResumableStream() implements RetrySemantics {}

  /** Returns whether a request that may already have run may be sent again. */
  default boolean allowsRetry() {
    return switch (this) {
      case Idempotent r -> true;
      case AtMostOnce r -> false;
      case AtMostOnceStream r -> false;
      case ResumableStream r -> true;
    };
  }

  /** Returns whether the response is a stream of events. */
  default boolean isStream() {
    return switch (this) {
      case Idempotent r -> false;
      case AtMostOnce r -> false;
      case AtMostOnceStream r -> true;
      case ResumableStream r -> true;
    };
  }

  /** Returns the name of this value in logs and stored state. */
  default String label() {
    return switch (this) {
      case Idempotent r -> "idempotent";
      case AtMostOnce r -> "once";
      case AtMostOnceStream r -> "stream_once";
      case ResumableStream r -> "resumable_stream";
    };
  }

  /**
   * Returns the value with the given label.
   *
   * @throws IllegalArgumentException if no value has the label
   */
  static RetrySemantics fromLabel(String label) {
    return switch (label) {
      case "idempotent" -> new Idempotent();
      case "once" -> new AtMostOnce();
      case "stream_once" -> new AtMostOnceStream();
      case "resumable_stream" -> new ResumableStream();
      default -> throw new IllegalArgumentException("unknown retry semantics '" + label + "'");
    };
  }
}
