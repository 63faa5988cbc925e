package org.cuminwell.core.crash;

import java.time.Duration;
import java.util.List;

/**
 * Carries evidence on crashes between hosts. Immutable and thread safe.
 *
 * @param crashes records that are new to the sender or have changed
 * @param suspensions suspensions that are new to the sender or have changed
 */
public record CrashUpdate(List<CrashRecord> crashes, List<Aged> suspensions) {

  /**
   * Carries a suspension.
   *
   * @param age the time since it began
   */
  public record Aged(Suspension suspension, Duration age) {}

  /** Copies the lists. */
  public CrashUpdate {
    crashes = List.copyOf(crashes);
    suspensions = List.copyOf(suspensions);
  }

  /** Returns whether there is nothing to send. */
  public boolean isEmpty() {
    return crashes.isEmpty() && suspensions.isEmpty();
  }
}
