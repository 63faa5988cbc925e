package org.cuminwell.core.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.RouteId;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how long the answers of each route take, as the timeouts of TCP do: by a moving mean
 * and a moving mean deviation.
 *
 * <p>Invariant: no estimate is longer than the timeout of its route, which stands for a route that
 * has answered nothing yet. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class AnswerTimes {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final int DEVIATIONS = 4;

  private record Estimate(double meanNanos, double deviationNanos) {

    Estimate with(double nanos) {
      double off = Math.abs(nanos - meanNanos);
      return new Estimate(
          meanNanos + MEAN_GAIN * (nanos - meanNanos),
          deviationNanos + DEVIATION_GAIN * (off - deviationNanos));
    }

    Duration high() {
      return Duration.ofNanos((long) (meanNanos + DEVIATIONS * deviationNanos));
    }
  }

  private final Map<RouteId, Estimate> estimates = new HashMap<>();

  /** Takes in how long a whole answer took. */
  void observe(RouteId route, Duration took) {
    double nanos = took.toNanos();
    estimates.merge(route, new Estimate(nanos, nanos / 2), (old, _) -> old.with(nanos));
  }

  /** Returns a time in which nearly every answer of the route ends. */
  Duration expected(ForwardRoute route) {
    @Nullable Estimate estimate = estimates.get(route.id());
    return estimate == null || estimate.high().compareTo(route.timeout()) > 0
        ? route.timeout()
        : estimate.high();
  }

  /** Forgets routes that are not among those given. */
  void keepOnly(Set<RouteId> routes) {
    estimates.keySet().retainAll(routes);
  }
}
