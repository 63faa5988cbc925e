package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.model.RouteId;

/**
 * Estimates, from how requests ended, whether the endpoints of a route have room.
 *
 * <p>Not thread safe.
 */
final class RouteRoom {

  private static final Duration HALF_LIFE = Duration.ofSeconds(1);

  /** Refusals below this part of the ended requests do not show that a service is full. */
  private static final double FULL_PART = 0.1;

  private final Map<RouteId, Ends> ends = new HashMap<>();

  /** Counts ended requests of a route. */
  private record Ends(DecayingRate all, DecayingRate withoutRoom) {}

  void record(RouteId route, boolean lackedRoom, Instant now) {
    Ends counts =
        ends.computeIfAbsent(
            route,
            _ -> new Ends(new DecayingRate(HALF_LIFE, now), new DecayingRate(HALF_LIFE, now)));
    counts.all().record(now);
    if (lackedRoom) {
      counts.withoutRoom().record(now);
    }
  }

  /** Returns whether requests of the route are not refused for want of room. */
  boolean hasRoom(RouteId route, Instant now) {
    Ends counts = ends.get(route);
    return counts == null
        || counts.withoutRoom().perSecond(now) <= FULL_PART * counts.all().perSecond(now);
  }
}
