package org.cuminwell.core.model;

/** Names each way in which a request can fail, with the HTTP status that callers see. */
public enum ErrorCode {
  ANSWER_NOT_KEPT("answer_not_kept", 409),
  ANSWER_TOO_LONG("answer_too_long", 502),
  BAD_REQUEST("bad_request", 400),
  BODY_TOO_LARGE("body_too_large", 413),
  BUSY("busy", 503),
  CALL_DROPPED("call_dropped", 499),
  DEADLINE_EXCEEDED("deadline_exceeded", 504),
  ENDPOINT_FAILED("endpoint_failed", 502),
  HOP_MARK_REFUSED("hop_mark_refused", 400),
  INCOMPLETE_ANSWER("incomplete_answer", 502),
  IN_PROGRESS("in_progress", 409),
  INVALID_KEY("invalid_key", 401),
  KEY_REUSED("idempotency_key_reused", 422),
  MISSING_KEY("missing_key", 401),
  NO_ENDPOINT("no_endpoint", 503),
  NO_QUORUM("no_quorum", 503),
  NOT_READY("not_ready", 503),
  OUTCOME_UNKNOWN("outcome_unknown", 409),
  RATE_LIMITED("rate_limited", 429),
  SHARE_SHORT("share_short", 429),
  STOPPING("stopping", 503),
  SUSPENDED("request_suspended", 422),
  UNKNOWN_PATH("unknown_path", 404),
  UNKNOWN_ROUTE("unknown_route", 404),
  WRONG_METHOD("wrong_method", 405),
  WRONG_REGION("wrong_region", 421);

  private final String label;
  private final int httpStatus;

  ErrorCode(String label, int httpStatus) {
    this.label = label;
    this.httpStatus = httpStatus;
  }

  /** Returns the name that callers see. */
  public String label() {
    return label;
  }

  /** Returns the HTTP status that goes with this error. */
  public int httpStatus() {
    return httpStatus;
  }
}
