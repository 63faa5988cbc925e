package org.cuminwell.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds what many gateways that tell each other nothing do to the engines of their region. */
final class EngineFleetTest {

  private static final long SEED = 16;
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration LENGTH = Duration.ofSeconds(30);
  private static final int THINGS_PER_ENGINE = 6;

  /** What the requests' own parts take of what engines can read. */
  private static final double OWN_USE = 0.38;

  /** The part of first tokens that the size to design for wants in time. */
  private static final double IN_TIME = 0.95;

  @ParameterizedTest(name = "{0} gateways, {1} engines of {2} slots")
  @CsvSource({"1, 2, 128", "2, 3, 128", "6, 6, 64", "22, 33, 16", "25, 14, 64", "67, 98, 16"})
  void requestsThatFitTheEnginesBeginInTimeOverHoweverManyGatewaysTheyAreSpread(
      int gateways, int engines, int slots) {
    EngineFleet fleet = new EngineFleet(gateways, engines, slots, SEED);
    double perSecond = OWN_USE * engines * EngineFleet.READ_RATE / EngineFleet.OWN_TOKENS;
    EngineFleet.Outcome outcome =
        fleet.play(perSecond, THINGS_PER_ENGINE * engines, WARM_UP, LENGTH);
    assertThat(outcome.inTimePart()).as("%s", outcome).isGreaterThan(IN_TIME);
  }
}
