package org.cuminwell.core.model;

import java.time.Duration;
import java.util.Optional;

/**
 * Describes why a request failed and whether it may have run.
 *
 * <p>Immutable and thread safe.
 *
 * @param message one sentence that tells the caller what to do
 * @param retryAfter how long the caller should wait before it retries; empty if no time is known
 */
public record Failure(
    ErrorCode code, String message, Verdict verdict, Optional<Duration> retryAfter) {

  /** Returns a failure of a request that has certainly not run. */
  public static Failure notRun(ErrorCode code, String message) {
    return new Failure(code, message, Verdict.notRun(), Optional.empty());
  }

  /** Returns a failure of a request that has certainly not run and may succeed later. */
  public static Failure notRunRetryAfter(ErrorCode code, String message, Duration retryAfter) {
    return new Failure(code, message, Verdict.notRun(), Optional.of(retryAfter));
  }

  /** Returns a failure of a request that may have run. */
  public static Failure mayHaveRun(ErrorCode code, String message) {
    return new Failure(code, message, Verdict.mayHaveRun(), Optional.empty());
  }

  /** Returns a failure of a request that has run. */
  public static Failure ran(ErrorCode code, String message) {
    return new Failure(code, message, Verdict.ran(), Optional.empty());
  }

  /** Returns the same failure with another verdict. */
  public Failure withVerdict(Verdict other) {
    return new Failure(code, message, other, retryAfter);
  }

  /** Returns the same failure with the time that the caller should wait before it retries. */
  public Failure withRetryAfter(Duration wait) {
    return new Failure(code, message, verdict, Optional.of(wait));
  }
}
