package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.model.RegionId;

/**
 * Remembers which other regions this gateway can't reach, so that requests are not sent there in
 * vain.
 *
 * <p>A region is avoided after {@link #FAILURES_TO_AVOID} connections in a row that could not be
 * established, for a time that doubles with each further failure. After it, one request at a time
 * tests the region. Invariant: a region that a request has reached since the last failure is not
 * avoided. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class RegionReachability {

  /** One failure may be that of a single relay. */
  static final int FAILURES_TO_AVOID = 2;

  static final Duration MIN_AVOIDED = Duration.ofSeconds(1);
  static final Duration MAX_AVOIDED = Duration.ofSeconds(4);

  private final Map<RegionId, State> states = new HashMap<>();

  /** Holds the failures in a row and until when the region is avoided. */
  private record State(int failures, Instant avoidedUntil) {}

  /** Returns whether a request may be sent to the region. */
  boolean isUsable(RegionId region, Instant now) {
    State state = states.get(region);
    return state == null
        || state.failures() < FAILURES_TO_AVOID
        || !now.isBefore(state.avoidedUntil())
        // A clock that was set back must not prolong the avoidance.
        || now.plus(MAX_AVOIDED).isBefore(state.avoidedUntil());
  }

  /**
   * Records that a request is sent to the region. While the region is being tested, others are kept
   * from it until the result is known.
   */
  void recordSent(RegionId region, Instant now) {
    states.computeIfPresent(
        region,
        (_, state) ->
            state.failures() < FAILURES_TO_AVOID
                ? state
                : new State(state.failures(), later(state.avoidedUntil(), now.plus(MIN_AVOIDED))));
  }

  /** Records that a connection to the region could not be established. */
  void recordUnreachable(RegionId region, Instant now) {
    int failures = states.containsKey(region) ? states.get(region).failures() + 1 : 1;
    states.put(region, new State(failures, now.plus(avoidedFor(failures))));
  }

  /** Records that a gateway in the region has responded. */
  void recordReached(RegionId region) {
    states.remove(region);
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  private static Duration avoidedFor(int failures) {
    if (failures < FAILURES_TO_AVOID) {
      return Duration.ZERO;
    }
    int doublings = Math.min(failures - FAILURES_TO_AVOID, 8);
    Duration time = MIN_AVOIDED.multipliedBy(1L << doublings);
    return time.compareTo(MAX_AVOIDED) < 0 ? time : MAX_AVOIDED;
  }
}
