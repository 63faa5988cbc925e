package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.RouteRollout;

/**
 * Simulates the baseline policy: raises the share at fixed times, and rolls the version back if its
 * failure rate or latency in the current step exceeds a threshold. Confined to one test.
 */
final class FixedStepPolicy {

  private static final Duration STEP_DURATION = Duration.ofSeconds(15);
  private static final int MIN_REQUESTS = 20;

  private final RouteRollout rollout;
  private final long[] requests = new long[2];
  private final long[] failed = new long[2];
  private final double[] firstTokenNanos = new double[2];
  private RolloutState state;
  private Instant changedAt = Instant.EPOCH;

  FixedStepPolicy(RouteRollout rollout) {
    this.rollout = rollout;
    this.state = new RolloutState.Canary(rollout.bounds().firstShare());
  }

  RolloutState state() {
    return state;
  }

  void recordEnded(boolean isNew, boolean hasFailed, Duration firstToken) {
    int version = isNew ? 1 : 0;
    requests[version]++;
    failed[version] += hasFailed ? 1 : 0;
    firstTokenNanos[version] += firstToken.toNanos();
  }

  void tick(Instant now) {
    if (changedAt.equals(Instant.EPOCH)) {
      changedAt = now;
    }
    if (state.isFinal()) {
      return;
    }
    if (requests[1] >= MIN_REQUESTS && requests[0] >= MIN_REQUESTS && isBad()) {
      state = new RolloutState.TakenBack("over the threshold");
    } else if (!now.isBefore(changedAt.plus(STEP_DURATION))) {
      changedAt = now;
      double share = state.share();
      state =
          share >= 0.8
              ? new RolloutState.Done()
              : new RolloutState.Ramping(share < 0.5 ? Math.min(0.5, share * 2) : 0.8);
      java.util.Arrays.fill(requests, 0);
      java.util.Arrays.fill(failed, 0);
      java.util.Arrays.fill(firstTokenNanos, 0);
    }
  }

  private boolean isBad() {
    double rise = (double) failed[1] / requests[1] - (double) failed[0] / requests[0];
    double slowdown = firstTokenNanos[1] / requests[1] / (firstTokenNanos[0] / requests[0]);
    return rise > rollout.bounds().maxFailureRise() || slowdown > rollout.bounds().maxSlowdown();
  }
}
