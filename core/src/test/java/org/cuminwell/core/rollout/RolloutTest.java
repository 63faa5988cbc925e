package org.cuminwell.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.rollout.RolloutSimulation.Behaviour;
import org.cuminwell.core.rollout.RolloutSimulation.Disturbance;
import org.cuminwell.core.rollout.RolloutSimulation.Policy;
import org.cuminwell.core.rollout.RolloutSimulation.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests rollouts of each kind of version under each disturbance, and prints how they compare with
 * fixed steps.
 */
class RolloutTest {

  private static final int SEEDS = Integer.getInteger("seeds", 4);
  private static final double FIRST_SHARE = 0.05;
  private static final Duration STOP_LIMIT = Duration.ofSeconds(2);

  @ParameterizedTest(name = "{0}, {1}: {2}")
  @CsvSource({
    "GOOD,            NONE,                done",
    "GOOD,            LEADER_KILLED,       done",
    "GOOD,            GATEWAY_RESTARTED,   done",
    "GOOD,            DATA_CENTRE_CUT_OFF, done",
    "GOOD,            STEPS_DOUBLED,       done",
    "FAILS_AT_ONCE,   NONE,                taken_back",
    "FAILS_AT_ONCE,   LEADER_KILLED,       taken_back",
    "FAILS_LATE,      NONE,                taken_back",
    "FAILS_LATE,      LEADER_KILLED,       taken_back",
    "FAILS_LATE,      GATEWAY_RESTARTED,   taken_back",
    "FAILS_LATE,      DATA_CENTRE_CUT_OFF, taken_back",
    "FAILS_SOMETIMES, NONE,                taken_back",
    "FAILS_SOMETIMES, DATA_CENTRE_CUT_OFF, taken_back",
    "SLOW,            NONE,                taken_back",
    "SLOW,            LEADER_KILLED,       taken_back",
    "SLOW,            DATA_CENTRE_CUT_OFF, taken_back",
    "SLOW_UNDER_LOAD, NONE,                taken_back",
    "SLOW_UNDER_LOAD, GATEWAY_RESTARTED,   taken_back",
    "CRASHES,         NONE,                taken_back",
    "CRASHES,         STEPS_DOUBLED,       taken_back",
    "MISSING,         NONE,                stuck",
  })
  void reachesTheExpectedState(Behaviour behaviour, Disturbance disturbance, String expected) {
    Summary evidence = new Summary();
    Summary baseline = new Summary();
    for (long seed = 0; seed < SEEDS; seed++) {
      Result result = new RolloutSimulation(seed, behaviour, disturbance, Policy.EVIDENCE).run();
      evidence.add(result, expected);
      baseline.add(
          new RolloutSimulation(seed, behaviour, disturbance, Policy.FIXED_STEPS).run(), expected);
      assertThat(result.newTokenShareInCanary()).as("share, seed %s", seed).isLessThan(FIRST_SHARE);
      assertThat(result.lastNewAfterRollback())
          .as("time from the rollback to the last request to the new version, seed %s", seed)
          .isLessThan(STOP_LIMIT);
    }
    evidence.print("evidence", behaviour, disturbance);
    baseline.print("fixed steps", behaviour, disturbance);
    assertThat(evidence.wrong).as("simulations that did not end %s", expected).isZero();
  }

  /** Summarises the simulations of one row. */
  private static final class Summary {

    private int simulations;
    private int wrong;
    private long requests;
    private long badResponses;
    private Duration totalDuration = Duration.ZERO;
    private Duration maxDuration = Duration.ZERO;
    private Duration maxLastNewAfterRollback = Duration.ZERO;

    void add(Result result, String expected) {
      simulations++;
      wrong += result.state().label().equals(expected) ? 0 : 1;
      requests += result.requests();
      badResponses += result.badResponses();
      totalDuration = totalDuration.plus(result.endedAfter());
      maxDuration = max(maxDuration, result.endedAfter());
      maxLastNewAfterRollback = max(maxLastNewAfterRollback, result.lastNewAfterRollback());
    }

    void print(String policy, Behaviour behaviour, Disturbance disturbance) {
      System.out.printf(
          "| %s | %s | %s | %d of %d | %.3f | %.1f | %.1f | %.2f |%n",
          behaviour,
          disturbance,
          policy,
          simulations - wrong,
          simulations,
          100.0 * badResponses / requests,
          totalDuration.dividedBy(simulations).toMillis() / 1e3,
          maxDuration.toMillis() / 1e3,
          maxLastNewAfterRollback.toMillis() / 1e3);
    }

    private static Duration max(Duration a, Duration b) {
      return a.compareTo(b) > 0 ? a : b;
    }
  }
}
