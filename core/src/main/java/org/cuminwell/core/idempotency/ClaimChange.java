package org.cuminwell.core.idempotency;

import java.time.Duration;

/** Asks to change the claim on one key. Immutable and thread safe. */
public sealed interface ClaimChange {

  /** Returns what the claim is on. */
  ClaimKey key();

  /** Returns the claim that asks. */
  ClaimId id();

  /**
   * Claims the key before the call is sent.
   *
   * @param runLimit how long the call may be under way; after that its outcome counts as unknown
   *     until it is told
   */
  record Claim(ClaimKey key, ClaimId id, Fingerprint fingerprint, Duration runLimit)
      implements ClaimChange {}

  /** Gives the key back, since the call certainly has not run and will not under this claim. */
  record Release(ClaimKey key, ClaimId id) implements ClaimChange {}

  /** Tells how the call ended. */
  record Settle(ClaimKey key, ClaimId id, CallOutcome outcome) implements ClaimChange {}
}
