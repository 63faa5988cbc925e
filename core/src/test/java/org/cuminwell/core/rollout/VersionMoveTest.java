package org.cuminwell.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.rollout.MoveHistory.Behaviour;
import org.cuminwell.core.rollout.MoveHistory.Event;
import org.cuminwell.core.rollout.MoveHistory.Policy;
import org.cuminwell.core.rollout.MoveHistory.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks version rollouts of each kind of version under each event, and prints what they cost. */
class VersionMoveTest {

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
  void reachesTheRightEnd(Behaviour behaviour, Event event, String expected) {
    Sum own = new Sum();
    Sum baseline = new Sum();
    for (long seed = 0; seed < SEEDS; seed++) {
      Result result = new MoveHistory(seed, behaviour, event, Policy.EVIDENCE).play();
      own.add(result, expected);
      baseline.add(new MoveHistory(seed, behaviour, event, Policy.FIXED_STEPS).play(), expected);
      assertThat(result.newTokenShareInCanary()).as("share, seed %s", seed).isLessThan(FIRST_SHARE);
      assertThat(result.lastNewAfterTakeBack())
          .as("last request to a version taken back, seed %s", seed)
          .isLessThan(STOP_LIMIT);
    }
    own.print("evidence", behaviour, event);
    baseline.print("fixed steps", behaviour, event);
    assertThat(own.wrong).as("histories that did not end %s", expected).isZero();
  }

  /** Sums up the histories of one row. */
  private static final class Sum {

    private int histories;
    private int wrong;
    private long requests;
    private long bad;
    private Duration ended = Duration.ZERO;
    private Duration latest = Duration.ZERO;
    private Duration stop = Duration.ZERO;

    void add(Result result, String expected) {
      histories++;
      wrong += result.state().label().equals(expected) ? 0 : 1;
      requests += result.requests();
      bad += result.badAnswers();
      ended = ended.plus(result.endedAfter());
      latest = max(latest, result.endedAfter());
      stop = max(stop, result.lastNewAfterTakeBack());
    }

    void print(String policy, Behaviour behaviour, Event event) {
      System.out.printf(
          "| %s | %s | %s | %d of %d | %.3f | %.1f | %.1f | %.2f |%n",
          behaviour,
          event,
          policy,
          histories - wrong,
          histories,
          100.0 * bad / requests,
          ended.dividedBy(histories).toMillis() / 1e3,
          latest.toMillis() / 1e3,
          stop.toMillis() / 1e3);
    }

    private static Duration max(Duration a, Duration b) {
      return a.compareTo(b) > 0 ? a : b;
    }
  }
}
