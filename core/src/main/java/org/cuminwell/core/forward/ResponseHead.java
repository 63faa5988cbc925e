package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.Optional;

/** Classifies an endpoint's response by its status and headers. Immutable and thread safe. */
public sealed interface ResponseHead {

  /** Reports that the endpoint ran the request and that its response is final. */
  record Final(int status) implements ResponseHead {}

  /** Reports that the endpoint ran the request and failed. */
  record Failed(int status) implements ResponseHead {}

  /**
   * Reports that the endpoint refused the request without saying that it did not run it, with a
   * status by which callers conclude that. The request may have run.
   *
   * @param retryAfter how long to wait before a retry, if the endpoint says so
   */
  record UnconfirmedRefusal(int status, Optional<Duration> retryAfter) implements ResponseHead {
    /** Creates a refusal without a time. */
    public UnconfirmedRefusal(int status) {
      this(status, Optional.empty());
    }
  }

  /**
   * Reports that the endpoint did not run the request.
   *
   * @param misdirected whether the request reached another endpoint than the intended one
   * @param retryAfter how long to wait before a retry, if the endpoint says so
   */
  record NotRun(int status, boolean misdirected, Optional<Duration> retryAfter)
      implements ResponseHead {}

  /**
   * Reports that the response is not from the endpoint, or belongs to another request. The request
   * may have run.
   */
  record Unrecognized() implements ResponseHead {}
}
