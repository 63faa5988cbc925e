package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds the age of a request whose sender's clock is unknown.
 *
 * <p>A sender that has given an order up may have sent the opposite one, so an order that may be
 * that old must not be proposed. Immutable and thread safe.
 *
 * @param sentAfter a time before which the request was not sent, or did not arrive
 */
public record RequestAge(Instant sentAfter) {

  /** How long a sender waits for the answer before it turns to another host. */
  public static final Duration SENDER_TIMEOUT = Duration.ofSeconds(1);

  /** The part of {@link #SENDER_TIMEOUT} that is left to the log for the commit. */
  static final Duration COMMIT_TIME = Duration.ofMillis(500);

  /** Returns whether the sender may have given the request up by now. */
  public boolean mayBeGivenUp(Instant now) {
    return !now.isBefore(outcomeDeadline());
  }

  /** Returns the time from which an order must not be proposed or forwarded any more. */
  Instant proposalDeadline() {
    return sentAfter.plus(SENDER_TIMEOUT).minus(COMMIT_TIME);
  }

  /** Returns the time from which the sender may no longer wait for the answer. */
  Instant outcomeDeadline() {
    return sentAfter.plus(SENDER_TIMEOUT);
  }
}
