package org.cuminwell.core.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;

/**
 * Holds the duties of a deployment and their bounds. Immutable and thread safe.
 *
 * @param callsPerSecond the calls that all processes together may make
 * @param lease the time within which a duty must not return to an earlier holder
 * @param thawSlack the time for which a process that was frozen may take itself for the holder
 * @param usageWindow the length of a window of usage
 * @param usageLate the time after the end of a window until which its report must be sent
 */
public record DutySettings(
    Set<Duty> duties,
    double callsPerSecond,
    Duration lease,
    Duration thawSlack,
    Duration usageWindow,
    Duration usageLate) {

  /**
   * Copies the set.
   *
   * @throws IllegalArgumentException if a bound is out of its range
   */
  public DutySettings {
    duties = Set.copyOf(duties);
    if (!(callsPerSecond > 0)) {
      throw new IllegalArgumentException("the calls per second must be positive");
    }
    if (lease.isNegative() || thawSlack.isNegative()) {
      throw new IllegalArgumentException("lease and slack must not be negative");
    }
    if (!usageWindow.isPositive() || !usageLate.isPositive()) {
      throw new IllegalArgumentException("window and lateness must be positive");
    }
  }

  /** Returns the number of the window that contains the time. */
  public long windowAt(Instant time) {
    return Math.floorDiv(time.toEpochMilli(), usageWindow.toMillis());
  }

  /** Returns when the window ends. */
  public Instant endOf(long window) {
    return Instant.ofEpochMilli((window + 1) * usageWindow.toMillis());
  }
}
