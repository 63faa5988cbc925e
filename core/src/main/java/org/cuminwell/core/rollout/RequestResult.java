package org.cuminwell.core.rollout;

import java.time.Duration;
import java.util.Optional;

/**
 * Tells how one attempt went, for the comparison of versions. Immutable and thread safe.
 *
 * @param firstToken the time to the first part of the answer, if one came
 * @param tokenGap the mean time between tokens, if there were several
 */
public record RequestResult(
    boolean failed, Optional<Duration> firstToken, Optional<Duration> tokenGap) {

  /** Is the result of an attempt that gave no whole answer. */
  public static final RequestResult FAILED =
      new RequestResult(true, Optional.empty(), Optional.empty());
}
