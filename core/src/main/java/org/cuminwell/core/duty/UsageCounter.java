package org.cuminwell.core.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cuminwell.core.model.CustomerId;

/**
 * Counts, at a gateway, the requests of each customer that began to run, by window.
 *
 * <p>The counts are cumulative, so that a message that is lost or arrives twice changes nothing. A
 * window is kept until its report is in the log, but no longer than {@link #KEPT_WINDOWS}. Not
 * thread safe: one thread owns it.
 */
public final class UsageCounter {

  /** The windows that a gateway keeps while no control host records them. */
  static final int KEPT_WINDOWS = 60;

  private final Duration window;
  private final long incarnation;
  private final TreeMap<Long, Map<CustomerId, Long>> windows = new TreeMap<>();

  /** Creates a counter without counts for windows of the given length. */
  public UsageCounter(Duration window, long incarnation) {
    this.window = window;
    this.incarnation = incarnation;
  }

  /** Counts a request that began to run now. */
  public void record(CustomerId customer, Instant now) {
    long current = Math.floorDiv(now.toEpochMilli(), window.toMillis());
    windows.computeIfAbsent(current, _ -> new HashMap<>()).merge(customer, 1L, Long::sum);
    windows.headMap(current - KEPT_WINDOWS, true).clear();
  }

  /** Answers a request for the counts, and forgets the windows that it says are recorded. */
  public UsageMessage.Counts answer(UsageMessage.Request request, Instant now) {
    if (request.recordedThrough().isPresent()) {
      windows.headMap(request.recordedThrough().getAsLong(), true).clear();
    }
    return new UsageMessage.Counts(
        new UsageCounts(
            incarnation,
            now,
            windows.entrySet().stream()
                .map(entry -> UsageWindow.of(entry.getKey(), entry.getValue()))
                .toList()));
  }
}
