package org.cuminwell.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cuminwell.core.limit.ShareFleet.Faults;
import org.cuminwell.core.limit.ShareFleet.Ledger;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.TokenLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks over many seeds that all hosts together never admit more than rate and burst allow.
 *
 * <p>Tokens used beyond an estimate are charged at the host but left out of the sums: they may only
 * lower what is admitted later.
 */
class ShareBoundTest {

  private static final TokenLimit LIMIT = new TokenLimit(1_000, 5_000);
  private static final int STEPS = 400;
  private static final int SEEDS = 250;

  /** Allowed rounding error, as a fraction of the burst. */
  private static final double ROUNDING_FRACTION = 1e-6;

  private record RunningRequest(HostId host, long estimate, long used, Instant endsAt) {}

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "steady,                      1000, 3, false, 0,    0,    0,    0,    0",
    "lost duplicated and late,    1001, 4, true,  0,    0,    0,    0,    0",
    "clocks that differ,          1002, 4, true,  0.02, 0,    0,    0,    0",
    "restarts,                    1003, 4, true,  0,    0.02, 0,    0,    0",
    "disconnections,              1004, 4, true,  0,    0,    0.02, 0,    0",
    "new leaders,                 1005, 4, true,  0,    0,    0,    0.01, 0",
    "overruns of estimates,       1006, 4, true,  0,    0,    0,    0,    0.3",
    "all of them,                 1007, 6, true,  0.02, 0.01, 0.02, 0.005, 0.3",
  })
  void neverAdmitsMoreThanRateAndBurst(
      String name,
      long firstSeed,
      int hosts,
      boolean faulty,
      double drift,
      double restart,
      double cut,
      double leader,
      double overrun) {
    for (long seed = firstSeed * 10_000; seed < firstSeed * 10_000 + SEEDS; seed++) {
      Faults faults = faulty ? Faults.MANY : Faults.NONE;
      ShareFleet fleet = new ShareFleet(hosts, LIMIT, faults, drift, seed);
      Ledger ledger = new Ledger();
      SplittableRandom random = new SplittableRandom(seed + 1);
      List<RunningRequest> runningRequest = new ArrayList<>();
      fleet.startNewLeader();
      for (int step = 0; step < STEPS; step++) {
        injectFaults(fleet, random, runningRequest, restart, cut, leader);
        fleet.step();
        assertThat(fleet.heldShares().tokensPerSecond())
            .as("rate held, seed %d step %d", seed, step)
            .isLessThanOrEqualTo(Floors.grantable(LIMIT.tokensPerSecond()));
        assertThat(fleet.heldShares().burstTokens())
            .as("burst held, seed %d step %d", seed, step)
            .isLessThanOrEqualTo(Floors.grantable(LIMIT.burstTokens()));
        sendRequests(fleet, random, runningRequest, ledger, overrun);
        settleEnded(fleet, runningRequest, ledger);
      }
      double rate = (double) LIMIT.tokensPerSecond() * (1 + drift);
      assertThat(ledger.worstExcess(rate, (double) LIMIT.burstTokens()))
          .as("seed %d", seed)
          .isLessThanOrEqualTo((double) LIMIT.burstTokens() * ROUNDING_FRACTION);
    }
  }

  /**
   * Restarts hosts, connects or disconnects them and starts a new leader, each with its
   * probability.
   */
  private static void injectFaults(
      ShareFleet fleet,
      SplittableRandom random,
      List<RunningRequest> runningRequest,
      double restart,
      double cut,
      double leader) {
    for (HostId id : fleet.hosts()) {
      if (random.nextDouble() < restart) {
        fleet.restart(id);
        runningRequest.removeIf(call -> call.host().equals(id));
      }
      if (random.nextDouble() < cut && !fleet.disconnected.remove(id)) {
        fleet.disconnected.add(id);
      }
    }
    if (random.nextDouble() < leader) {
      fleet.startNewLeader();
    }
  }

  /** Sends requests at about two thirds of the hosts, to others in each period of 8 seconds. */
  private static void sendRequests(
      ShareFleet fleet,
      SplittableRandom random,
      List<RunningRequest> runningRequest,
      Ledger ledger,
      double overrun) {
    long period = Duration.between(ShareFleet.START, fleet.now).toSeconds() / 8;
    int index = 0;
    for (HostId id : fleet.hosts()) {
      boolean busy = Long.hashCode(period * 31 + index++) % 3 != 0;
      for (int i = 0; busy && i < 3; i++) {
        long estimate = random.nextLong(1, 401);
        if (fleet.admit(id, estimate)) {
          ledger.charge(estimate, fleet.now);
          boolean over = random.nextDouble() < overrun;
          long used = over ? estimate + random.nextLong(100) : random.nextLong(estimate + 1);
          runningRequest.add(
              new RunningRequest(id, estimate, used, fleet.now.plusMillis(random.nextInt(3_000))));
        }
      }
    }
  }

  /**
   * Settles the requests that have ended. The ledger counts only what they used less than their
   * estimate.
   */
  private static void settleEnded(
      ShareFleet fleet, List<RunningRequest> runningRequest, Ledger ledger) {
    for (RunningRequest call : List.copyOf(runningRequest)) {
      if (!call.endsAt().isAfter(fleet.now)) {
        runningRequest.remove(call);
        fleet.settle(call.host(), call.estimate(), call.used());
        ledger.charge(Math.min(0, call.used() - call.estimate()), fleet.now);
      }
    }
  }
}
