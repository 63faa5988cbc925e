package org.cuminwell.core.retry;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.Verdict;

/**
 * Decides whether a request may be retried after a failed attempt.
 *
 * <p>A request that must not run twice is retried only if it has certainly not run. Immutable and
 * thread safe.
 *
 * @param maxAttempts the largest number of attempts of one request
 */
public record RetryPolicy(int maxAttempts) {

  /** The policy that gateways use. */
  public static final RetryPolicy DEFAULT = new RetryPolicy(3);

  private static final Duration BASE_FIRST_BYTE_TIMEOUT = Duration.ofSeconds(4);
  private static final int WAIT_FACTOR = 3;

  /**
   * Returns how long to wait for the first byte of a response before the attempt is given up for
   * another.
   *
   * <p>A connection that is silent looks the same as a slow endpoint, so the timeout grows with the
   * wait expected there. An attempt that no other can follow has until the deadline, so that
   * slowness alone never fails a request.
   *
   * @param another whether another attempt would be allowed if this one may have run
   * @param expectedWait how long the request is expected to wait for a slot
   * @param work how long a slow endpoint works before it sends the first byte
   * @param untilDeadline the time until the deadline of the request
   */
  public Duration firstByteTimeout(
      boolean another, Duration expectedWait, Duration work, Duration untilDeadline) {
    Duration timeout =
        BASE_FIRST_BYTE_TIMEOUT.plus(expectedWait.multipliedBy(WAIT_FACTOR)).plus(work);
    return another && timeout.compareTo(untilDeadline) < 0 ? timeout : untilDeadline;
  }

  /**
   * Returns whether another attempt is allowed.
   *
   * @param attempts how many attempts have been made
   * @param verdict whether the request may have run
   * @param idempotent whether the request may run more than once
   * @param responseStarted whether a part of the response has been passed to the caller
   */
  public boolean allowsRetry(
      int attempts,
      Verdict verdict,
      boolean idempotent,
      boolean responseStarted,
      Instant deadline,
      Instant now) {
    if (responseStarted || attempts >= maxAttempts || !now.isBefore(deadline)) {
      return false;
    }
    return switch (verdict) {
      case Verdict.NotRun n -> true;
      case Verdict.MayHaveRun m -> idempotent;
      case Verdict.Ran r -> idempotent;
    };
  }
}
