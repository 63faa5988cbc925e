package org.cuminwell.core.duty;

import java.time.Instant;
import java.util.List;

/**
 * Holds the cumulative counts of one gateway process for each window that it keeps. Immutable and
 * thread safe.
 *
 * @param incarnation a random number of the process, since the next process counts from zero
 * @param countedUntil the gateway's time up to which everything is counted
 */
public record UsageCounts(long incarnation, Instant countedUntil, List<UsageWindow> windows) {

  /** Copies the list. */
  public UsageCounts {
    windows = List.copyOf(windows);
  }
}
