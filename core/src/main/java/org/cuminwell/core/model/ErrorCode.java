package org.cuminwell.core.model;

/** Lists the errors that a request can fail with, and the HTTP status of each. */
public enum ErrorCode {
  /**
   * A repeated call under an Idempotency-Key: the first one ran, but its response is not stored.
   */
  ANSWER_NOT_KEPT("answer_not_kept", 409),
  /** The response of the endpoint exceeds a limit on its size. */
  ANSWER_TOO_LONG("answer_too_long", 502),
  BAD_REQUEST("bad_request", 400),
  BODY_TOO_LARGE("body_too_large", 413),
  BUSY("busy", 503),
  /** The caller disconnected before the end of the response. */
  CALL_DROPPED("call_dropped", 499),
  DEADLINE_EXCEEDED("deadline_exceeded", 504),
  ENDPOINT_FAILED("endpoint_failed", 502),
  /** This host is at capacity and refused the request on its head. */
  GATEWAY_BUSY("gateway_busy", 503),
  /** The caller set a header that only gateways may set. */
  HOP_MARK_REFUSED("hop_mark_refused", 400),
  INCOMPLETE_ANSWER("incomplete_answer", 502),
  IN_PROGRESS("in_progress", 409),
  INVALID_KEY("invalid_key", 401),
  /** The Idempotency-Key was used before for a call with other content. */
  KEY_REUSED("idempotency_key_reused", 422),
  MISSING_KEY("missing_key", 401),
  NO_ENDPOINT("no_endpoint", 503),
  NO_QUORUM("no_quorum", 503),
  NOT_READY("not_ready", 503),
  /** A repeated call under an Idempotency-Key: it is not known whether the first one ran. */
  OUTCOME_UNKNOWN("outcome_unknown", 409),
  RATE_LIMITED("rate_limited", 429),
  /** This host's share of the customer's token limit is used up. */
  SHARE_SHORT("share_short", 429),
  STOPPING("stopping", 503),
  /** Requests like this one crash endpoints, so none is sent for a while. */
  SUSPENDED("request_suspended", 503),
  UNKNOWN_PATH("unknown_path", 404),
  UNKNOWN_ROUTE("unknown_route", 404),
  WRONG_METHOD("wrong_method", 405),
  /** The request may not be read or run in this region. */
  WRONG_REGION("wrong_region", 421);

  private final String label;
  private final int httpStatus;

  ErrorCode(String label, int httpStatus) {
    this.label = label;
    this.httpStatus = httpStatus;
  }

  /** Returns the name of this error in responses to callers. */
  public String label() {
    return label;
  }

  /** Returns the HTTP status of responses with this error. */
  public int httpStatus() {
    return httpStatus;
  }
}
