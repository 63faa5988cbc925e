package org.cuminwell.core.retry;

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

  /**
   * Returns whether another attempt is allowed.
   *
   * @param attempts how many attempts have been made
   * @param idempotent whether the request may run more than once
   * @param answerBegan whether the caller has been given a part of an answer
   */
  public boolean allows(
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
