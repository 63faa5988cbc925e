package org.cuminwell.core.consensus;

/**
 * Bounds what a replica keeps of its log in memory and on disk. Immutable and thread safe.
 *
 * @param maxEntries the number of entries above which applied entries become a snapshot
 * @param maxBytes the estimated memory of the entries, in bytes, above which applied entries become
 *     a snapshot; also bounds the commands that wait for their outcome
 */
public record LogLimits(int maxEntries, long maxBytes) {

  private static final int MAX_ENTRIES = 1_024;

  /** The part of a process's heap that the log may take. */
  private static final int HEAP_DIVISOR = 8;

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if a limit is not positive
   */
  public LogLimits {
    if (maxEntries < 1 || maxBytes < 1) {
      throw new IllegalArgumentException(
          "log limits must be positive; found " + maxEntries + " entries, " + maxBytes + " bytes");
    }
  }

  /** Returns the limits of a process whose heap may grow to {@code heapBytes}. */
  public static LogLimits forHeap(long heapBytes) {
    return new LogLimits(MAX_ENTRIES, Math.max(1, heapBytes / HEAP_DIVISOR));
  }

  /** Returns whether a log of this size exceeds a limit. */
  boolean areExceededBy(int entries, long bytes) {
    return entries > maxEntries || bytes > maxBytes;
  }
}
