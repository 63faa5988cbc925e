package org.cuminwell.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that false alarms stay within their probability at any number of pairs, and that faults are
 * found.
 */
class SequentialTestTest {

  private static final int SIMULATIONS = Integer.getInteger("seeds", 4) * 1_000;
  private static final int PAIRS = 1_000;
  private static final double TOLERANCE = 0.02;
  private static final double ALPHA = 0.05;

  @ParameterizedTest(
      name = "failure rates {0} (new) and {1} (old): alarms in {2} to {3} of simulations")
  @CsvSource({
    "0.00, 0.00, 0.00, 0.00",
    "0.01, 0.01, 0.00, 0.05",
    "0.03, 0.01, 0.00, 0.05",
    "0.22, 0.20, 0.00, 0.05",
    "0.52, 0.50, 0.00, 0.05",
    "0.01, 0.30, 0.00, 0.05",
    "0.10, 0.01, 0.95, 1.00",
    "0.50, 0.01, 1.00, 1.00",
    "0.40, 0.20, 1.00, 1.00",
  })
  void falseAlarmsStayWithinAlphaAndFaultsAreFound(
      double newRate, double oldRate, double minFraction, double maxFraction) {
    SplittableRandom random = new SplittableRandom(7);
    int alarms = 0;
    for (int i = 0; i < SIMULATIONS; i++) {
      alarms += raisesAlarm(random, newRate, oldRate) ? 1 : 0;
    }

    assertThat((double) alarms / SIMULATIONS).isBetween(minFraction, maxFraction);
  }

  private static boolean raisesAlarm(SplittableRandom random, double newRate, double oldRate) {
    PairCounts pairs = PairCounts.NONE;
    for (int pair = 0; pair < PAIRS; pair++) {
      pairs = pairs.with(random.nextDouble() < newRate, random.nextDouble() < oldRate);
      if (SequentialTest.showsNewWorse(pairs, TOLERANCE, ALPHA)) {
        return true;
      }
    }
    return false;
  }
}
