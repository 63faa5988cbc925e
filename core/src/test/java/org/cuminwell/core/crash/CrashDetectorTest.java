package org.cuminwell.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.cuminwell.core.model.EndpointId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when lost attempts are taken for the crash of their endpoint. */
final class CrashDetectorTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final EndpointIncarnation ENDPOINT =
      new EndpointIncarnation(new EndpointId("e0"), 1);
  private static final Trait TRAIT = new Trait.SharedPart(1);

  private final CrashDetector detector = new CrashDetector();

  @ParameterizedTest(name = "responds {1} ms after the loss to an attempt sent {0} ms after it")
  @CsvSource({
    // Bytes that were on their way.
    "-500, 100,  true",
    // The endpoint lives.
    "50,   200,  false",
    "-500, 1500, false",
  })
  void endpointsThatGoOnRespondingHaveNotCrashed(long sentMillis, long atMillis, boolean crashed) {
    detector.recordLost(ENDPOINT, "service", List.of(TRAIT), START);
    detector.recordAlive(ENDPOINT, START.plusMillis(sentMillis), START.plusMillis(atMillis));
    assertThat(detector.takeReports(START.plusSeconds(2))).hasSize(crashed ? 1 : 0);
  }

  @ParameterizedTest(name = "asked {0} ms after the first of {1} losses")
  @CsvSource({"100, 5, 0", "400, 5, 1", "11000, 5, 0"})
  void lossesAreReportedTogetherOnce(long afterMillis, int losses, int reports) {
    for (int i = 0; i < losses; i++) {
      detector.recordLost(ENDPOINT, "service", List.of(TRAIT), START);
    }
    Instant now = START.plusMillis(afterMillis);
    List<CrashDetector.Report> reported = detector.takeReports(now);
    assertThat(reported).hasSize(reports);
    assertThat(reported)
        .allSatisfy(
            report ->
                assertThat(report)
                    .isEqualTo(
                        new CrashDetector.Report(ENDPOINT, "service", losses, Set.of(TRAIT))));
    assertThat(detector.takeReports(now)).isEmpty();
  }
}
