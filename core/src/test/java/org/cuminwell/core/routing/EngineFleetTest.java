package org.cuminwell.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that responses start in time when many gateways share engines without exchanging load. */
final class EngineFleetTest {

  private static final long SEED = 16;
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration LENGTH = Duration.ofSeconds(30);
  private static final int PREFIXES_PER_ENGINE = 6;

  /** The fraction of the engines' prefill rate that the unshared prompt parts take. */
  private static final double UNSHARED_UTILISATION = 0.38;

  /**
   * The minimum fraction of first tokens in time; the capacity target, the size that the system is
   * designed for, requires it.
   */
  private static final double MIN_IN_TIME_FRACTION = 0.95;

  @ParameterizedTest(name = "{0} gateways, {1} engines of {2} slots")
  @CsvSource({"1, 2, 128", "2, 3, 128", "6, 6, 64", "22, 33, 16", "25, 14, 64", "67, 98, 16"})
  void responsesStartInTimeForAnyNumberOfGateways(int gateways, int engines, int slots) {
    EngineFleet fleet = new EngineFleet(gateways, engines, slots, SEED);
    double perSecond =
        UNSHARED_UTILISATION
            * engines
            * EngineFleet.PREFILL_TOKENS_PER_SECOND
            / EngineFleet.UNSHARED_TOKENS;
    EngineFleet.Outcome outcome =
        fleet.run(perSecond, PREFIXES_PER_ENGINE * engines, WARM_UP, LENGTH);
    assertThat(outcome.inTimeFraction()).as("%s", outcome).isGreaterThan(MIN_IN_TIME_FRACTION);
  }
}
