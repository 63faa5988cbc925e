package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.Optional;

/** Says what the headers of an endpoint's answer tell. Immutable and thread safe. */
public sealed interface ResponseHead {

  /** The endpoint ran the request, and its answer is final. */
  record Final(int status) implements ResponseHead {}

  /** The endpoint ran the request and failed. */
  record Failed(int status) implements ResponseHead {}

  /**
   * The endpoint did not run the request.
   *
   * @param otherEndpoint whether another endpoint than the one that was meant answered
   * @param retryAfter when it may be tried again
   */
  record NotRun(int status, boolean otherEndpoint, Optional<Duration> retryAfter)
      implements ResponseHead {}

  /** What came is not an answer to the request, which may have run. */
  record Unrecognized() implements ResponseHead {}
}
