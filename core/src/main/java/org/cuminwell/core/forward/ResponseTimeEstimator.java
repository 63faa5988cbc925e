package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.RouteId;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how long the responses of each route take, by the moving mean and mean deviation that
 * TCP uses for its retransmission timeout.
 *
 * <p>Invariant: an estimate never exceeds the timeout of its route, which is also the estimate of a
 * route without completed responses. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class ResponseTimeEstimator {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final int DEVIATION_FACTOR = 4;

  private record Estimate(double meanNanos, double deviationNanos) {

    Estimate updatedWith(double nanos) {
      double deviation = Math.abs(nanos - meanNanos);
      return new Estimate(
          meanNanos + MEAN_GAIN * (nanos - meanNanos),
          deviationNanos + DEVIATION_GAIN * (deviation - deviationNanos));
    }

    Duration upperBound() {
      return Duration.ofNanos((long) (meanNanos + DEVIATION_FACTOR * deviationNanos));
    }
  }

  private final Map<RouteId, Estimate> estimates = new HashMap<>();

  /** Updates the estimate of the route from the duration of a complete response. */
  void observe(RouteId route, Duration duration) {
    double nanos = duration.toNanos();
    estimates.merge(route, new Estimate(nanos, nanos / 2), (old, _) -> old.updatedWith(nanos));
  }

  /** Returns a duration within which nearly every response of the route completes. */
  Duration expectedDuration(ForwardRoute route) {
    @Nullable Estimate estimate = estimates.get(route.id());
    return estimate == null || estimate.upperBound().compareTo(route.timeout()) > 0
        ? route.timeout()
        : estimate.upperBound();
  }

  /** Removes the estimates of all routes but those given. */
  void retainRoutes(Set<RouteId> routes) {
    estimates.keySet().retainAll(routes);
  }
}
