package org.cuminwell.core.duty;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Holds the replicated state of the duties. Immutable and thread safe.
 *
 * @param lastRecorded the last window whose report is fixed
 * @param unconfirmed the fixed reports that the platform is not known to have, by window
 * @param droppedReports how many reports were dropped because too many were not confirmed
 */
public record DutySnapshot(
    Map<Duty, DutyHolding> holdings,
    OptionalLong lastRecorded,
    List<UsageWindow> unconfirmed,
    long droppedReports) {

  /** The state before any duty was taken. */
  public static final DutySnapshot NONE =
      new DutySnapshot(Map.of(), OptionalLong.empty(), List.of(), 0);

  /** Copies the map and the list. */
  public DutySnapshot {
    holdings = Map.copyOf(holdings);
    unconfirmed = List.copyOf(unconfirmed);
  }
}
