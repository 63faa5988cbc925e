package org.cuminwell.shell.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the clock follows the steady clock, adds a gain of the system clock that indicates a
 * suspension, and never goes back when the system clock is set back.
 */
final class MonotonicTimeTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private Instant system = START;
  private long steadyNanos;

  @ParameterizedTest(name = "steady {0} ms, system {1} ms: {2} ms")
  @CsvSource({
    "1000, 1000,  1000",
    "1000, 1100,  1000",
    "1000, 6000,  6000",
    "1000, -2000, 1000",
    "0,    5000,  5000",
  })
  void countsSuspensionsAndNeverGoesBack(
      long steadyMillis, long systemMillis, long expectedMillis) {
    MonotonicTime time = new MonotonicTime(() -> system, () -> steadyNanos);
    steadyNanos += Duration.ofMillis(steadyMillis).toNanos();
    system = system.plusMillis(systemMillis);
    assertThat(time.instant()).isEqualTo(START.plusMillis(expectedMillis));
    steadyNanos += Duration.ofMillis(10).toNanos();
    system = system.plusMillis(10);
    assertThat(time.instant()).isEqualTo(START.plusMillis(expectedMillis + 10));
  }
}
