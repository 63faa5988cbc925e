package org.cuminwell.core.duty;

import org.cuminwell.core.model.HostId;

/** Represents a change of the replicated state of the duties. Immutable and thread safe. */
public sealed interface DutyChange {

  /**
   * Makes the host the holder under the next token, unless the token has changed since.
   *
   * @param term the term in which the host leads
   * @param basis the duty's token as far as the host knows, 0 if there was none
   */
  record Take(Duty duty, HostId holder, long term, long basis) implements DutyChange {}

  /**
   * Fixes the report of a window, unless that window or a later one is fixed already or the token
   * is not the duty's.
   */
  record RecordUsage(long token, UsageWindow report) implements DutyChange {}

  /** Records that the platform has the report of the window. */
  record ConfirmUsage(long window) implements DutyChange {}

  /** Returns the estimated memory of the counts, in bytes. */
  default long bytes() {
    return switch (this) {
      case RecordUsage c -> c.report().counts().size() * UsageWindow.BYTES_PER_COUNT;
      case Take _, ConfirmUsage _ -> 0;
    };
  }
}
