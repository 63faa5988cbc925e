package org.cuminwell.shell.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StartStepsTest {

  private static final Instant BEGIN = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration WALL = Duration.ofMillis(200);
  private static final Duration PROCESSOR = Duration.ofMillis(50);

  private Instant now = BEGIN;
  private Duration used = Duration.ZERO;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "listen | ,\"listen_wall_ms\":200,\"listen_cpu_ms\":50",
        "listen,listen | ,\"listen_wall_ms\":200,\"listen_cpu_ms\":50",
        "listen,ready | ,\"listen_wall_ms\":200,\"listen_cpu_ms\":50"
            + ",\"ready_wall_ms\":200,\"ready_cpu_ms\":50",
        "listen,ready,late | ,\"listen_wall_ms\":200,\"listen_cpu_ms\":50"
            + ",\"ready_wall_ms\":200,\"ready_cpu_ms\":50",
      })
  void eachStepHoldsTheTimeSinceTheOneBefore(String ended, String expected) {
    StartSteps steps = new StartSteps(BEGIN, () -> now, () -> used);
    for (String step : List.of(ended.split(","))) {
      now = now.plus(WALL);
      used = used.plus(PROCESSOR);
      if (step.equals("ready")) {
        steps.finished(step);
      } else {
        steps.ended(step);
      }
    }

    assertThat(steps.json()).isEqualTo("{\"event\":\"started\"" + expected + "}");
  }
}
