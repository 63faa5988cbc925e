package org.cuminwell.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.forward.ServiceRolloutSimulation.Behaviour;
import org.cuminwell.core.forward.ServiceRolloutSimulation.Event;
import org.cuminwell.core.forward.ServiceRolloutSimulation.Result;
import org.cuminwell.core.rollout.RolloutState;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the rollout of a bad version of a service is bounded and rolled back, and that of a
 * good version completed, under each kind of disturbance.
 */
final class SlowVersionIsNotCompletedTest {

  private static final int SEEDS = Integer.getInteger("seeds", 4);
  private static final long KNOWN_RED_SEEDS = 16;
  private static final double MAX_UNPROVEN_GOOD_FRACTION = 0.3;
  private static final Duration MAX_ROLLBACK_TIME = Duration.ofSeconds(5);

  @ParameterizedTest(name = "{0}, {1}, {2} s, {3} requests a second: {4}")
  @CsvSource({
    "GOOD,              NONE,              15, 52, done",
    "GOOD,              NONE,              12, 52, done",
    "GOOD,              NONE,              60, 20, done",
    "GOOD,              NONE,              15, 2,  taken_back",
    "GOOD,              LEADER_KILLED,     15, 52, done",
    "GOOD,              GATEWAYS_CUT_OFF,  15, 52, done",
    "GOOD,              GATEWAY_RESTARTED, 15, 52, done",
    "GOOD,              ORDER_REPEATED,    15, 52, done",
    "SLOW,              NONE,              15, 52, taken_back",
    "SLOW,              NONE,              12, 52, taken_back",
    "SLOW,              NONE,              15, 5,  taken_back",
    "SLOW,              LEADER_KILLED,     15, 52, taken_back",
    "SLOW,              GATEWAYS_CUT_OFF,  15, 52, taken_back",
    "SLOW,              GATEWAY_RESTARTED, 15, 52, taken_back",
    "SLOW,              ORDER_REPEATED,    15, 52, taken_back",
    "SLOW,              OTHER_ORDER,       15, 52, taken_back",
    "SLOW_LATER,        NONE,              15, 52, taken_back",
    "SLOW_LATER,        NONE,              60, 20, taken_back",
    "SLOW_LATER,        LEADER_KILLED,     15, 52, taken_back",
    "SLOW_ON_ONE_ROUTE, NONE,              15, 52, taken_back",
    "SLOW_ON_ONE_ROUTE, GATEWAYS_CUT_OFF,  15, 52, taken_back",
    "SLOW_UNDER_LOAD,   NONE,              15, 52, taken_back",
    "FAILS,             NONE,              15, 52, taken_back",
    "FAILS,             GATEWAYS_CUT_OFF,  15, 52, taken_back",
  })
  void badVersionIsBoundedAndNeverCompleted(
      Behaviour behaviour, Event event, long seconds, double perSecond, String expected) {
    check(behaviour, event, seconds, perSecond, expected, SEEDS);
  }

  @Tag("known-red")
  @ParameterizedTest(name = "{0}, {1}, {2} s, {3} requests a second: {4}")
  @CsvSource({
    "SLOW_UNDER_LOAD,   NONE,              15, 52, taken_back",
    "SLOW_UNDER_LOAD,   NONE,              60, 20, taken_back",
  })
  void versionThatIsSlowOnlyUnderLoadIsNeverCompleted(
      Behaviour behaviour, Event event, long seconds, double perSecond, String expected) {
    check(behaviour, event, seconds, perSecond, expected, KNOWN_RED_SEEDS);
  }

  private static void check(
      Behaviour behaviour,
      Event event,
      long seconds,
      double perSecond,
      String expected,
      long seeds) {
    int wrong = 0;
    for (long seed = 0; seed < seeds; seed++) {
      Result result =
          new ServiceRolloutSimulation(
                  seed, behaviour, event, Duration.ofSeconds(seconds), perSecond)
              .run();
      wrong += result.state().label().equals(expected) ? 0 : 1;
      if (behaviour != Behaviour.GOOD) {
        assertIsBounded(result, seed);
      }
      if (result.state() instanceof RolloutState.TakenBack) {
        assertThat(result.newAfterEnd())
            .as("requests at the new version after its rollback, seed %s", seed)
            .isZero();
      }
    }
    double mostWrong = expected.equals("done") ? MAX_UNPROVEN_GOOD_FRACTION * seeds : 0;
    assertThat((double) wrong)
        .as("simulations that did not end as " + expected)
        .isLessThanOrEqualTo(mostWrong);
  }

  private static void assertIsBounded(Result result, long seed) {
    double bound =
        ServiceRolloutSimulation.EXPOSURE.share() * result.requests()
            + ServiceRolloutSimulation.EXPOSURE.slackRequests();
    assertThat((double) result.newRequests())
        .as("exposure of %s, seed %s", result, seed)
        .isLessThanOrEqualTo(bound);
    assertThat(result.lastNewAfterBound())
        .as(
            "time of the last request at the new version after its last allowed bad response, seed %s",
            seed)
        .isLessThan(MAX_ROLLBACK_TIME);
  }
}
