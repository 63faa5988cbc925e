package org.cuminwell.core.model;

/**
 * Says whether a request may have run, which decides what may be done with it next.
 *
 * <p>The verdict is made where bytes leave: until the first byte of a request has reached a socket
 * it has not run. Immutable and thread safe.
 */
public sealed interface Verdict {

  /** Returns the verdict that the request has certainly not run, so anyone may send it again. */
  static Verdict notRun() {
    return new NotRun();
  }

  /** Returns the verdict that only an idempotent request may be sent again. */
  static Verdict mayHaveRun() {
    return new MayHaveRun();
  }

  /** Returns the verdict that the request has run; its answer may still be unusable. */
  static Verdict ran() {
    return new Ran();
  }

  /** The request has certainly not run. */
  record NotRun() implements Verdict {}

  /** The request may or may not have run. */
  record MayHaveRun() implements Verdict {}

  /** The request has certainly run. */
  record Ran() implements Verdict {}

  /** Returns the verdict on two attempts of one request together. */
  default Verdict combinedWith(Verdict other) {
    return switch (this) {
      case NotRun n -> other;
      case MayHaveRun m -> other instanceof Ran ? other : this;
      case Ran r -> this;
    };
  }

  /** Returns the name that callers see. */
  default String label() {
    return switch (this) {
      case NotRun n -> "not_run";
      case MayHaveRun m -> "may_have_run";
      case Ran r -> "ran";
    };
  }
}
