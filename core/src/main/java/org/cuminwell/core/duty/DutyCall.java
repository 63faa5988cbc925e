package org.cuminwell.core.duty;

import org.cuminwell.core.model.HostId;

/**
 * Represents one call to the platform's API. Immutable and thread safe.
 *
 * @param number the number of the call in this process
 * @param holder the host in whose name the call is made
 * @param token the fencing token of that host's holding
 */
public record DutyCall(long number, Duty duty, HostId holder, long token, Content content) {

  /** Represents what a call says. */
  public sealed interface Content {}

  /** Reports the usage in one window. All windows are one subject. */
  public record Usage(UsageWindow report) implements Content {}

  /** Represents how a call ended. */
  public sealed interface Result {}

  /** Reports that the call was carried out. */
  public record Accepted() implements Result {}

  /** Reports that the platform has seen a higher token, so that the call was not carried out. */
  public record Superseded() implements Result {}

  /** Reports another answer; the call won't be carried out from now on. */
  public record Refused(String reason) implements Result {}

  /** Reports that no answer came; the call may be carried out at any later time. */
  public record Unanswered(String reason) implements Result {}

  /** Reports that the call was not sent, since the lease had ended. */
  public record NotSent() implements Result {}
}
