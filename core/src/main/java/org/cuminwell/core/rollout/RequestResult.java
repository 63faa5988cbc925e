package org.cuminwell.core.rollout;

import java.time.Duration;
import java.util.Optional;

/**
 * Holds the result of one attempt, for the comparison of versions. Immutable and thread safe.
 *
 * @param firstToken the time to the first part of the response; empty if none arrived
 * @param tokenGap the mean time between tokens; empty if it is not known
 */
public record RequestResult(
    boolean failed, Optional<Duration> firstToken, Optional<Duration> tokenGap) {

  /** The result of an attempt without a complete response. */
  public static final RequestResult FAILED =
      new RequestResult(true, Optional.empty(), Optional.empty());
}
