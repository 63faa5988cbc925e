package org.cuminwell.core.model;

/** Says what may be done again for a request of a route. Immutable and thread safe. */
public sealed interface RetrySemantics {

  /** The request may run any number of times. */
  record Idempotent() implements RetrySemantics {}

  /** The request may run at most once. */
  record AtMostOnce() implements RetrySemantics {}

  /** The answer is a stream of events, and the request may run at most once. */
  record AtMostOnceStream() implements RetrySemantics {}

  /** The answer is a stream of numbered events that another endpoint may go on with. */
  record ResumableStream() implements RetrySemantics {}

  /** Returns whether a request that may have run may be sent again. */
  default boolean allowsRetry() {
    return switch (this) {
      case Idempotent r -> true;
      case AtMostOnce r -> false;
      case AtMostOnceStream r -> false;
      case ResumableStream r -> true;
    };
  }

  /** Returns whether the answer is a stream of events. */
  default boolean isStream() {
    return switch (this) {
      case Idempotent r -> false;
      case AtMostOnce r -> false;
      case AtMostOnceStream r -> true;
      case ResumableStream r -> true;
    };
  }

  /** Returns the name that stands in logs and stored states. */
  default String label() {
    return switch (this) {
      case Idempotent r -> "idempotent";
      case AtMostOnce r -> "once";
      case AtMostOnceStream r -> "stream_once";
      case ResumableStream r -> "resumable_stream";
    };
  }

  /**
   * Returns the value with the name.
   *
   * @throws IllegalArgumentException if no value has the name
   */
  static RetrySemantics fromLabel(String label) {
    return switch (label) {
      case "idempotent" -> new Idempotent();
      case "once" -> new AtMostOnce();
      case "stream_once" -> new AtMostOnceStream();
      case "resumable_stream" -> new ResumableStream();
      default -> throw new IllegalArgumentException("unknown repeat rule '" + label + "'");
    };
  }
}
