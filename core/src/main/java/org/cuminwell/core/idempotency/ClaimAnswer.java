package org.cuminwell.core.idempotency;

/** Answers a {@link ClaimChange} once it has its place in the log. Immutable and thread safe. */
public sealed interface ClaimAnswer {

  /** The call may be sent, by this claim alone. */
  record Granted() implements ClaimAnswer {}

  /** Another claim holds the key and its call may be running. */
  record InProgress() implements ClaimAnswer {}

  /** The call under this key has ended. */
  record Ended(CallOutcome outcome) implements ClaimAnswer {}

  /** The key stands for a call of other content. */
  record KeyReused() implements ClaimAnswer {}

  /** There is no room for another claim of this customer. */
  record LimitReached() implements ClaimAnswer {}

  /** The claim had been released before it was made; it came late. */
  record Withdrawn() implements ClaimAnswer {}

  /** A release or an outcome has been taken in. */
  record Acknowledged() implements ClaimAnswer {}
}
