package org.cuminwell.core.duty;

import java.time.Duration;

/** Represents an event about duties for the log. Immutable and thread safe. */
public sealed interface DutyLogEvent {

  /** Reports that a duty has a new holder or token. */
  record Held(Duty duty, DutyHolding holding) implements DutyLogEvent {}

  /** Reports that a call was not accepted. */
  record CallFailed(DutyCall call, DutyCall.Result result) implements DutyLogEvent {}

  /** Reports that the platform accepted a usage report. */
  record UsageReported(long window, long token, Duration afterEnd, boolean late)
      implements DutyLogEvent {}

  /** Reports that a window was recorded although counts of some gateways are missing. */
  record GatewaysMissing(long window, int missing) implements DutyLogEvent {}
}
