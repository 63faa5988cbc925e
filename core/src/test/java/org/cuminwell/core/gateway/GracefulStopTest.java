package org.cuminwell.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.forward.AcceptancePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests a stopping gateway accepts, and when it aborts running ones. */
final class GracefulStopTest {

  private static final Instant REQUESTED_AT = Instant.parse("2026-01-01T00:00:00Z");

  private final GracefulStop stop = new GracefulStop();

  @ParameterizedTest(
      name = "{1} ms after a stop with a grace period of {0} ms: accepts {2}, aborts {3}")
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
  void requestsThatOutlastTheGracePeriodAreNotAccepted(
      long gracePeriodMillis, long elapsedMillis, String policy, boolean aborts) {
    stop.request(Duration.ofMillis(gracePeriodMillis), REQUESTED_AT);
    Instant now = REQUESTED_AT.plusMillis(elapsedMillis);
    assertThat(stop.acceptancePolicy(now).getClass().getSimpleName()).isEqualTo(policy);
    if (stop.acceptancePolicy(now) instanceof AcceptancePolicy.EndingBy ending) {
      assertThat(ending.deadline()).isEqualTo(REQUESTED_AT.plusMillis(gracePeriodMillis));
    }
    assertThat(stop.startAbortingIfDue(now)).isEqualTo(aborts);
    assertThat(stop.startAbortingIfDue(now)).isFalse();
  }

  @ParameterizedTest(name = "requested again {0} ms later")
  @CsvSource({"0", "2000"})
  void secondRequestDoesNotPostponeTheStop(long laterMillis) {
    assertThat(stop.acceptancePolicy(REQUESTED_AT)).isEqualTo(new AcceptancePolicy.All());
    assertThat(stop.request(Duration.ofSeconds(7), REQUESTED_AT)).isTrue();
    assertThat(stop.request(Duration.ofSeconds(7), REQUESTED_AT.plusMillis(laterMillis))).isFalse();
    assertThat(stop.startAbortingIfDue(REQUESTED_AT.plusSeconds(7))).isTrue();
  }
}
