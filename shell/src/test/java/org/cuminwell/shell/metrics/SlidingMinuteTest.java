package org.cuminwell.shell.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks for how long events count. */
final class SlidingMinuteTest {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);

  @ParameterizedTest(name = "an event a second for {0} s, counted {1} s after the last: {2}")
  @CsvSource({
    "0, 0, 0",
    "1, 0, 1",
    "30, 0, 30",
    "300, 0, 60",
    "1, 59, 1",
    "1, 60, 0",
    "30, 45, 15"
  })
  void eventsCountForAMinute(int events, int secondsAfter, long expected) {
    SlidingMinute minute = new SlidingMinute();
    Instant last = START;
    for (int i = 0; i < events; i++) {
      last = START.plusSeconds(i);
      minute.record(last);
    }
    assertThat(minute.count(last.plusSeconds(secondsAfter))).isEqualTo(expected);
  }
}
