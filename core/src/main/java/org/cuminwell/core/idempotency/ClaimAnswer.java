package org.cuminwell.core.idempotency;

/**
 * Represents the answer to a {@link ClaimChange} after it is committed. Immutable and thread safe.
 */
public sealed interface ClaimAnswer {

  /** Reports that the key is granted to this claim, whose gateway may send the call. */
  record Granted() implements ClaimAnswer {}

  /** Reports that another claim holds the key, and that its call may still be running. */
  record InProgress() implements ClaimAnswer {}

  /** Reports that the call under this key has ended, or has exceeded its run limit. */
  record Ended(CallOutcome outcome) implements ClaimAnswer {}

  /** Reports that the key was used for a call with other content. */
  record KeyReused() implements ClaimAnswer {}

  /** Reports that the limit on claims, in total or for the customer, is reached. */
  record LimitReached() implements ClaimAnswer {}

  /** Reports that the claim was released before it was committed, so it is not granted. */
  record Withdrawn() implements ClaimAnswer {}

  /** Reports that the release or outcome is recorded, or had no effect. */
  record Acknowledged() implements ClaimAnswer {}
}
