package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RouteId;

/**
 * Expects the retries of refused requests, which carry no mark: after the time that a refusal
 * named, one request of the same customer and route counts as its retry.
 *
 * <p>Invariant: at most {@link #MAX_CREDITS} retries are expected. Not thread safe.
 */
final class RetryCredits {

  static final int MAX_CREDITS = 4_096;

  /** How long after its time a retry is still expected. */
  private static final Duration LATE_BY = Duration.ofSeconds(1);

  private final Map<Sender, Deque<Instant>> dueTimes = new HashMap<>();
  private int size;

  /** Identifies whose retry is expected. */
  private record Sender(Optional<CustomerId> customer, RouteId route) {}

  /** Expects a retry of a request that was refused. */
  void add(RequestHead head, Instant due) {
    if (size < MAX_CREDITS) {
      dueTimes
          .computeIfAbsent(new Sender(head.customer(), head.route()), _ -> new ArrayDeque<>())
          .addLast(due);
      size++;
    }
  }

  /** Returns whether the request counts as a retry, and expects that one no longer. */
  boolean take(RequestHead head, Instant now) {
    Deque<Instant> own = dueTimes.get(new Sender(head.customer(), head.route()));
    if (own == null || own.isEmpty() || own.getFirst().isAfter(now)) {
      return false;
    }
    own.removeFirst();
    size--;
    return true;
  }

  /** Removes retries that have not come. */
  void expire(Instant now) {
    Instant earliest = now.minus(LATE_BY);
    for (Deque<Instant> own : dueTimes.values()) {
      while (!own.isEmpty() && own.getFirst().isBefore(earliest)) {
        own.removeFirst();
        size--;
      }
    }
    dueTimes.values().removeIf(Deque::isEmpty);
  }

  /** Returns how many retries are expected. */
  int size() {
    return size;
  }
}
