package org.cuminwell.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.forward.AcceptancePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds what a stopping gateway takes and when it cuts. */
final class GracefulStopTest {

  private static final Instant ASKED = Instant.parse("2026-01-01T00:00:00Z");

  private final GracefulStop stop = new GracefulStop();

  @ParameterizedTest(name = "{1} ms after a stop within {0} ms: takes {2}, cuts {3}")
  @CsvSource({
    "7000, 0,    EndingBy, false",
    "7000, 2999, EndingBy, false",
    "7000, 3000, None,     false",
    "7000, 6999, None,     false",
    "7000, 7000, None,     true",
    "1000, 499,  EndingBy, false",
    "1000, 500,  None,     false",
    "1000, 1000, None,     true",
    "0,    0,    None,     true",
  })
  void noRequestIsTakenThatOutlastsTheStop(
      long withinMillis, long afterMillis, String takes, boolean cuts) {
    stop.ask(Duration.ofMillis(withinMillis), ASKED);
    Instant now = ASKED.plusMillis(afterMillis);
    assertThat(stop.intake(now).getClass().getSimpleName()).isEqualTo(takes);
    if (stop.intake(now) instanceof AcceptancePolicy.EndingBy ending) {
      assertThat(ending.deadline()).isEqualTo(ASKED.plusMillis(withinMillis));
    }
    assertThat(stop.beginsCutting(now)).isEqualTo(cuts);
    assertThat(stop.beginsCutting(now)).isFalse();
  }

  @ParameterizedTest(name = "asked again {0} ms later")
  @CsvSource({"0", "2000"})
  void aSecondStopDoesNotPutOffTheFirst(long laterMillis) {
    assertThat(stop.intake(ASKED)).isEqualTo(new AcceptancePolicy.All());
    assertThat(stop.ask(Duration.ofSeconds(7), ASKED)).isTrue();
    assertThat(stop.ask(Duration.ofSeconds(7), ASKED.plusMillis(laterMillis))).isFalse();
    assertThat(stop.beginsCutting(ASKED.plusSeconds(7))).isTrue();
  }
}
