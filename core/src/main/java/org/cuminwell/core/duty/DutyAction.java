package org.cuminwell.core.duty;

import java.time.Instant;
import java.util.OptionalLong;

/** Represents an action that the holder of a duty decided. Immutable and thread safe. */
public sealed interface DutyAction {

  /** Submits a change to the replicated log, unless one of its kind for the duty is pending. */
  record Submit(DutyChange change) implements DutyAction {}

  /**
   * Makes a call.
   *
   * @param startBefore when the lease ends under which it is made; it must not be sent later
   */
  record Call(DutyCall call, Instant startBefore) implements DutyAction {}

  /**
   * Asks the gateways for their counts.
   *
   * @param recordedThrough the last window that gateways need not keep
   */
  record AskForUsage(OptionalLong recordedThrough) implements DutyAction {}

  /** Logs an event. */
  record Log(DutyLogEvent event) implements DutyAction {}
}
