package org.cuminwell.shell.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the times that a start line reports, also for steps recorded twice or after the last. */
class StartStepsTest {

  private static final Instant BEGIN = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration WALL_TIME = Duration.ofMillis(200);
  private static final Duration CPU_TIME = Duration.ofMillis(50);

  private Instant now = BEGIN;
  private Duration cpuTime = Duration.ZERO;

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
  void eachStepTakesTheTimeSinceThePreviousStep(String stepNames, String expected) {
    StartSteps steps = new StartSteps(BEGIN, () -> now, () -> cpuTime);
    for (String step : List.of(stepNames.split(","))) {
      now = now.plus(WALL_TIME);
      cpuTime = cpuTime.plus(CPU_TIME);
      if (step.equals("ready")) {
        steps.recordLastStepEnd(step);
      } else {
        steps.recordStepEnd(step);
      }
    }

    assertThat(steps.toJson()).isEqualTo("{\"event\":\"started\"" + expected + "}");
  }
}
