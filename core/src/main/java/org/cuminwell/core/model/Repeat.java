package org.cuminwell.core.model;

/** Says what may be done again for a request of a route. Immutable and thread safe. */
public sealed interface Repeat {

  /** The request may run any number of times. */
  record Idempotent() implements Repeat {}

  /** The request may run at most once. */
  record Once() implements Repeat {}

  /** The answer is a stream of events, and the request may run at most once. */
  record StreamOnce() implements Repeat {}

  /** The answer is a stream of numbered events that another endpoint may go on with. */
  record ResumableStream() implements Repeat {}

  /** Returns whether a request that may have run may be sent again. */
  default boolean allowsAnother() {
    return switch (this) {
      case Idempotent r -> true;
      case Once r -> false;
      case StreamOnce r -> false;
      case ResumableStream r -> true;
    };
  }

  /** Returns whether the answer is a stream of events. */
  default boolean isStream() {
    return switch (this) {
      case Idempotent r -> false;
      case Once r -> false;
      case StreamOnce r -> true;
      case ResumableStream r -> true;
    };
  }

  /** Returns the name that stands in logs and stored states. */
  default String label() {
    return switch (this) {
      case Idempotent r -> "idempotent";
      case Once r -> "once";
      case StreamOnce r -> "stream_once";
      case ResumableStream r -> "resumable_stream";
    };
  }

  /**
   * Returns the value with the name.
   *
   * @throws IllegalArgumentException if no value has the name
   */
  static Repeat of(String label) {
    return switch (label) {
      case "idempotent" -> new Idempotent();
      case "once" -> new Once();
      case "stream_once" -> new StreamOnce();
      case "resumable_stream" -> new ResumableStream();
      default -> throw new IllegalArgumentException("unknown repeat rule '" + label + "'");
    };
  }
}
