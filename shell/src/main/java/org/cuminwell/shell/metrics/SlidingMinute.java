package org.cuminwell.shell.metrics;

import java.time.Instant;

/**
 * Counts events of the last minute, in steps of a second.
 *
 * <p>Invariant: an event is counted for at least 59 s and at most 60 s. Thread safe.
 */
final class SlidingMinute {

  private static final int SECONDS = 60;

  private final long[] counts = new long[SECONDS];
  private final long[] seconds = new long[SECONDS];

  /** Counts one event. */
  synchronized void record(Instant now) {
    int index = index(now.getEpochSecond());
    if (seconds[index] != now.getEpochSecond()) {
      seconds[index] = now.getEpochSecond();
      counts[index] = 0;
    }
    counts[index]++;
  }

  /** Returns the number of events in the minute before {@code now}. */
  synchronized long count(Instant now) {
    long sum = 0;
    for (int i = 0; i < SECONDS; i++) {
      boolean isRecent =
          seconds[i] > now.getEpochSecond() - SECONDS && seconds[i] <= now.getEpochSecond();
      sum += isRecent ? counts[i] : 0;
    }
    return sum;
  }

  private static int index(long second) {
    return Math.floorMod(second, SECONDS);
  }
}
