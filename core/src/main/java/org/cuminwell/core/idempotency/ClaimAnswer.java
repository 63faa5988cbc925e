package org.cuminwell.core.idempotency;

/** The answer to a {@link ClaimChange} after it is committed. Immutable and thread safe. */
public sealed interface ClaimAnswer {

  /** The key is granted to this claim, whose gateway may send the call. */
  record Granted() implements ClaimAnswer {}

  /** Another claim holds the key, and its call may still be running. */
  record InProgress() implements ClaimAnswer {}

  /** The call under this key has ended, or has exceeded its run limit. */
  record Ended(CallOutcome outcome) implements ClaimAnswer {}

  /** The key was used for a call with other content. */
  record KeyReused() implements ClaimAnswer {}

  /** The limit on claims, in total or for the customer, is reached. */
  record LimitReached() implements ClaimAnswer {}

  /** The claim was released before it was committed, so it is not granted. */
  record Withdrawn() implements ClaimAnswer {}

  /** The release or outcome is recorded, or had no effect. */
  record Acknowledged() implements ClaimAnswer {}
}
