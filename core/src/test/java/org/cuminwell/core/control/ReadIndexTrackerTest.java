package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks as of which time a host considers its state current. */
final class ReadIndexTrackerTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final ReadIndexTracker readIndex = new ReadIndexTracker();

  @ParameterizedTest(name = "confirmed {0}, applied {1} of {2}: current as of {3}")
  @CsvSource({"100, 5, 5, 100", "100, 4, 5, ", ", 5, 5, "})
  void leaderIsCurrentAsOfItsConfirmedMessage(
      Long confirmedMillis, long applied, long commit, Long expectedMillis) {
    readIndex.advance(Optional.ofNullable(confirmedMillis).map(START::plusMillis), applied, commit);
    assertThat(readIndex.currentAsOf())
        .isEqualTo(expectedMillis == null ? Instant.MIN : START.plusMillis(expectedMillis));
  }

  @ParameterizedTest(name = "requested at {0}, read index {1}, applied {2}: current {3}")
  @CsvSource({"50, 5, 5, true", "50, 5, 6, true", "50, 6, 5, false"})
  void followerIsCurrentAsOfItsRequest(
      long askedMillis, long index, long applied, boolean current) {
    readIndex.onReply(START.plusMillis(askedMillis), index);
    readIndex.advance(Optional.empty(), applied, applied);
    assertThat(readIndex.currentAsOf())
        .isEqualTo(current ? START.plusMillis(askedMillis) : Instant.MIN);
  }

  @ParameterizedTest(name = "received at {0}, confirmed at {1}: answered {2}")
  @CsvSource({"100, 99, false", "100, 100, true", "100, 101, true"})
  void leaderAnswersOnlyRequestsReceivedBeforeConfirmation(
      long askedMillis, long confirmed, boolean answered) {
    readIndex.onRequest(new HostId("c2"), START, START.plusMillis(askedMillis));
    assertThat(
            readIndex.drainReplies(
                Optional.of(START.plusMillis(confirmed)), 7, START.plusMillis(askedMillis + 50)))
        .hasSize(answered ? 1 : 0);
  }

  @ParameterizedTest(name = "{0} then {1}")
  @CsvSource({"100, 50", "100, 100"})
  void currentAsOfNeverDecreases(long first, long second) {
    readIndex.advance(Optional.of(START.plusMillis(first)), 1, 1);
    readIndex.advance(Optional.of(START.plusMillis(second)), 1, 1);
    assertThat(readIndex.currentAsOf()).isEqualTo(START.plusMillis(first));
  }
}
