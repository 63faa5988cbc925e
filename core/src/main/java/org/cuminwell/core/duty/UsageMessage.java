package org.cuminwell.core.duty;

import java.util.OptionalLong;

/** Represents a message about usage between a control host and a gateway. Immutable. */
public sealed interface UsageMessage {

  /**
   * Asks a gateway for its counts; only the holder of the duty does.
   *
   * @param recordedThrough the last window that the gateway need not keep; empty if there is none
   */
  record Request(OptionalLong recordedThrough) implements UsageMessage {}

  /** Answers with all counts that the gateway keeps. */
  record Counts(UsageCounts counts) implements UsageMessage {}
}
