package org.cuminwell.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.cuminwell.core.idempotency.ClaimSimulation.CallerAnswer;
import org.cuminwell.core.idempotency.ClaimSimulation.FaultRates;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that concurrent calls with an idempotency key run at most once, and that callers are told
 * the truth, while messages are lost, duplicated or late, gateways crash and endpoints fail.
 */
class AtMostOnceTest {

  private static final int SEEDS = Integer.getInteger("seeds", 200);

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "no faults,                         0,  0,  0,  0, 0,  0,  0",
    "messages lost,                     30, 0,  0,  0, 0,  0,  0",
    "messages duplicated,               0,  50, 0,  0, 0,  0,  0",
    "messages and responses late,       0,  0,  30, 0, 0,  0,  0",
    "duplicated and late messages,      0,  50, 30, 0, 0,  0,  0",
    "gateways crash,                    0,  0,  0,  4, 0,  0,  0",
    "endpoints refuse connections,      0,  0,  0,  0, 60, 0,  0",
    "endpoints refuse and messages late, 0,  40, 40, 0, 60, 0,  0",
    "responses of endpoints are lost,   0,  0,  0,  0, 0,  40, 0",
    "control hosts often cut off,       0,  0,  0,  0, 0,  0,  70",
    "no quorum at all,                  0,  0,  0,  0, 0,  0,  100",
    "all faults together,               15, 25, 20, 3, 30, 15, 20",
  })
  void runsEachKeyAtMostOnceAndAnswersTruthfully(
      String name,
      int lost,
      int duplicated,
      int late,
      int crash,
      int refused,
      int answerLost,
      int noQuorum) {
    FaultRates faults =
        new FaultRates(lost, duplicated, late, crash, refused, answerLost, noQuorum);
    long answeredKeys = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, faults);
      simulation.run();
      answeredKeys += simulation.answeredKeyCount();
      check(simulation, seed);
    }
    if (noQuorum == 100) {
      assertThat(answeredKeys).isZero();
    } else {
      assertThat(answeredKeys).as("keys that got an answer").isGreaterThan(SEEDS);
    }
  }

  private static void check(ClaimSimulation simulation, long seed) {
    assertThat(simulation.runs().values())
        .as("runs of each key, seed %s", seed)
        .allMatch(count -> count == 1);
    for (CallerAnswer callerAnswer : simulation.callerAnswers()) {
      String description = "seed " + seed + ", " + callerAnswer;
      int runs = simulation.runs().getOrDefault(callerAnswer.key(), 0);
      int requestRuns = simulation.runsOfRequest().getOrDefault(callerAnswer.request(), 0);
      switch (callerAnswer.kind()) {
        case "answer", "replay" ->
            assertThat(callerAnswer.response())
                .as(description)
                .contains(simulation.responses().get(callerAnswer.key()));
        case "not_run" -> assertThat(requestRuns).as(description).isZero();
        case "ran" -> assertThat(runs).as(description).isEqualTo(1);
        default -> assertThat(callerAnswer.kind()).as(description).isEqualTo("may_have_run");
      }
    }
  }
}
