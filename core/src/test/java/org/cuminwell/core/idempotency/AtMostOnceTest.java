package org.cuminwell.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.cuminwell.core.idempotency.ClaimHistory.Faults;
import org.cuminwell.core.idempotency.ClaimHistory.Told;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks histories of concurrent calls: who ran what, and what callers were told of it. */
class AtMostOnceTest {

  private static final int SEEDS = Integer.getInteger("seeds", 200);

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "no faults,                         0,  0,  0,  0, 0,  0,  0",
    "messages lost,                     30, 0,  0,  0, 0,  0,  0",
    "messages doubled,                  0,  50, 0,  0, 0,  0,  0",
    "messages and answers late,         0,  0,  30, 0, 0,  0,  0",
    "doubled and late messages,         0,  50, 30, 0, 0,  0,  0",
    "gateways crash,                    0,  0,  0,  4, 0,  0,  0",
    "endpoints refuse connections,      0,  0,  0,  0, 60, 0,  0",
    "endpoints refuse and news is late, 0,  40, 40, 0, 60, 0,  0",
    "answers of endpoints are lost,     0,  0,  0,  0, 0,  40, 0",
    "control hosts often cut off,       0,  0,  0,  0, 0,  0,  70",
    "no quorum at all,                  0,  0,  0,  0, 0,  0,  100",
    "everything together,               15, 25, 20, 3, 30, 15, 20",
  })
  void runsEachKeyOnceAndTellsTheTruth(
      String name,
      int lost,
      int doubled,
      int late,
      int crash,
      int refused,
      int answerLost,
      int noQuorum) {
    Faults faults = new Faults(lost, doubled, late, crash, refused, answerLost, noQuorum);
    long answeredKeys = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      ClaimHistory history = new ClaimHistory(seed, faults);
      history.play();
      answeredKeys += history.answeredKeys();
      check(history, seed);
    }
    if (noQuorum == 100) {
      assertThat(answeredKeys).isZero();
    } else {
      assertThat(answeredKeys).as("keys that got an answer").isGreaterThan(SEEDS);
    }
  }

  private static void check(ClaimHistory history, long seed) {
    assertThat(history.runs().values())
        .as("runs of each key, seed %s", seed)
        .allMatch(count -> count == 1);
    for (Told told : history.told()) {
      String what = "seed " + seed + ", " + told;
      int runs = history.runs().getOrDefault(told.key(), 0);
      int own = history.runsOfRequest().getOrDefault(told.request(), 0);
      switch (told.what()) {
        case "answer", "replay" ->
            assertThat(told.answer()).as(what).contains(history.answers().get(told.key()));
        case "not_run" -> assertThat(own).as(what).isZero();
        case "ran" -> assertThat(runs).as(what).isEqualTo(1);
        default -> assertThat(told.what()).as(what).isEqualTo("may_have_run");
      }
    }
  }
}
