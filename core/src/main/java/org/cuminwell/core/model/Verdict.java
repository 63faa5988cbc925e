package org.cuminwell.core.model;

/**
 * States whether a request may have run, which decides whether it may be sent again.
 *
 * <p>The verdict is determined where the request is written: until its first byte has reached a
 * socket, it has not run. Immutable and thread safe.
 */
public sealed interface Verdict {

  /**
   * Returns the verdict that the request has certainly not run, so any request may be sent again.
   */
  static Verdict notRun() {
    return new NotRun();
  }

  /**
   * Returns the verdict that the request may have run, so only an idempotent one may be sent again.
   */
  static Verdict mayHaveRun() {
    return new MayHaveRun();
  }

  /** Returns the verdict that the request has run; its response may still be unusable. */
  static Verdict ran() {
    return new Ran();
  }

  /** States that the request has certainly not run. */
  record NotRun() implements Verdict {}

  /** States that the request may or may not have run. */
  record MayHaveRun() implements Verdict {}

  /** States that the request has certainly run. */
  record Ran() implements Verdict {}

  /** Returns the verdict on a request with two attempts that have this and the other verdict. */
  default Verdict combinedWith(Verdict other) {
    return switch (this) {
      case NotRun n -> other;
      case MayHaveRun m -> other instanceof Ran ? other : this;
      case Ran r -> this;
    };
  }

  /** Returns the name of this verdict in responses to callers. */
  default String label() {
    return switch (this) {
      case NotRun n -> "not_run";
      case MayHaveRun m -> "may_have_run";
      case Ran r -> "ran";
    };
  }
}
