package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.RouteRollout;

/**
 * Is the baseline: raises the share at fixed times and takes the version back where a rate of the
 * present step lies over a threshold. Confined to one test.
 */
final class FixedSteps {

  private static final Duration STEP = Duration.ofSeconds(15);
  private static final int ENOUGH = 20;

  private final RouteRollout routeRollout;
  private final long[] count = new long[2];
  private final long[] failed = new long[2];
  private final double[] firstNanos = new double[2];
  private RolloutState state;
  private Instant changedAt = Instant.EPOCH;

  FixedSteps(RouteRollout routeRollout) {
    this.routeRollout = routeRollout;
    this.state = new RolloutState.Canary(routeRollout.bounds().firstShare());
  }

  RolloutState state() {
    return state;
  }

  void ended(boolean isNew, boolean hasFailed, Duration first) {
    int i = isNew ? 1 : 0;
    count[i]++;
    failed[i] += hasFailed ? 1 : 0;
    firstNanos[i] += first.toNanos();
  }

  void tick(Instant now) {
    if (changedAt.equals(Instant.EPOCH)) {
      changedAt = now;
    }
    if (state.isFinal()) {
      return;
    }
    if (count[1] >= ENOUGH && count[0] >= ENOUGH && isBad()) {
      state = new RolloutState.TakenBack("over the threshold");
    } else if (!now.isBefore(changedAt.plus(STEP))) {
      changedAt = now;
      double share = state.share();
      state =
          share >= 0.8
              ? new RolloutState.Done()
              : new RolloutState.Ramping(share < 0.5 ? Math.min(0.5, share * 2) : 0.8);
      java.util.Arrays.fill(count, 0);
      java.util.Arrays.fill(failed, 0);
      java.util.Arrays.fill(firstNanos, 0);
    }
  }

  private boolean isBad() {
    double rise = (double) failed[1] / count[1] - (double) failed[0] / count[0];
    double slowdown = firstNanos[1] / count[1] / (firstNanos[0] / count[0]);
    return rise > routeRollout.bounds().maxFailureRise()
        || slowdown > routeRollout.bounds().maxSlowdown();
  }
}
