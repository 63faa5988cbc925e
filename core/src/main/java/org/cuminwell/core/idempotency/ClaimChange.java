package org.cuminwell.core.idempotency;

import java.time.Duration;

/** Represents a change to the claim on one key. Immutable and thread safe. */
public sealed interface ClaimChange {

  /** Returns the key. */
  ClaimKey key();

  /** Returns the id of the claim that requests the change. */
  ClaimId id();

  /**
   * Claims the key before the call is sent.
   *
   * @param runLimit how long the call may run; after that, other claims are answered that its
   *     outcome is unknown, until it is reported
   */
  record Claim(ClaimKey key, ClaimId id, Fingerprint fingerprint, Duration runLimit)
      implements ClaimChange {}

  /** Releases the key, since the call has certainly not run and won't run under this claim. */
  record Release(ClaimKey key, ClaimId id) implements ClaimChange {}

  /** Reports how the call ended. */
  record Settle(ClaimKey key, ClaimId id, CallOutcome outcome) implements ClaimChange {}
}
