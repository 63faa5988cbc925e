package org.cuminwell.core.retry;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.Verdict;

/**
 * Decides whether a failed attempt may be made again.
 *
 * <p>A request that must not run twice is only sent again when it has certainly not run. Immutable
 * and thread safe.
 *
 * @param maxAttempts how many attempts one request may take
 */
public record RetryPolicy(int maxAttempts) {

  /** The policy that gateways use. */
  public static final RetryPolicy DEFAULT = new RetryPolicy(3);

  private static final Duration BASE_PATIENCE = Duration.ofSeconds(4);
  private static final int WAIT_FACTOR = 3;

  /**
   * Returns how long an attempt may show no byte of its answer before it is given up for another.
   *
   * <p>A connection that went silent looks like a slow endpoint, so the limit grows with the wait
   * that is expected there. An attempt that can't be followed by another has until the deadline, so
   * that slowness alone never fails a request.
   *
   * @param another whether another attempt would be allowed if this one may have run
   * @param expectedWait how long the request is expected to wait for a slot
   * @param work how long a slow endpoint works before the first byte
   */
  public Duration firstByteTimeout(
      boolean another, Duration expectedWait, Duration work, Duration untilDeadline) {
    Duration patience = BASE_PATIENCE.plus(expectedWait.multipliedBy(WAIT_FACTOR)).plus(work);
    return another && patience.compareTo(untilDeadline) < 0 ? patience : untilDeadline;
  }

  /**
   * Returns whether another attempt is allowed.
   *
   * @param attempts how many attempts have been made
   * @param idempotent whether the request may run more than once
   * @param answerBegan whether the caller has been given a part of an answer
   */
  public boolean allowsRetry(
      int attempts,
      Verdict verdict,
      boolean idempotent,
      boolean answerBegan,
      Instant deadline,
      Instant now) {
    if (answerBegan || attempts >= maxAttempts || !now.isBefore(deadline)) {
      return false;
    }
    return switch (verdict) {
      case Verdict.NotRun n -> true;
      case Verdict.MayHaveRun m -> idempotent;
      case Verdict.Ran r -> idempotent;
    };
  }
}
