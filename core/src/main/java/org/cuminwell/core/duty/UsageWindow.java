package org.cuminwell.core.duty;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cuminwell.core.model.CustomerId;

/**
 * Counts the requests of each customer that began to run in one window. Immutable and thread safe.
 *
 * @param window the number of the window, which begins at {@code window} times its length after the
 *     Unix epoch
 */
public record UsageWindow(long window, SortedMap<CustomerId, Long> counts) {

  /** The estimated memory of one count, in bytes. */
  static final long BYTES_PER_COUNT = 160;

  /**
   * Copies the counts.
   *
   * @throws IllegalArgumentException if a count is not positive
   */
  public UsageWindow {
    if (counts.values().stream().anyMatch(count -> count <= 0)) {
      throw new IllegalArgumentException("a count must be positive");
    }
    counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
  }

  /** Creates a window with the counts. */
  public static UsageWindow of(long window, Map<CustomerId, Long> counts) {
    return new UsageWindow(window, new TreeMap<>(counts));
  }
}
