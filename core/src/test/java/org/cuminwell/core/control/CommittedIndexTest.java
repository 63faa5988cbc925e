package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds from when a host may take its state for the latest. */
final class CommittedIndexTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final CommittedIndex committed = new CommittedIndex();

  @ParameterizedTest(name = "confirmed {0}, applied {1} of {2}: current as of {3}")
  @CsvSource({"100, 5, 5, 100", "100, 4, 5, ", ", 5, 5, "})
  void leadersCountFromTheirConfirmedMessage(
      Long confirmedMillis, long applied, long commit, Long expectedMillis) {
    committed.advance(Optional.ofNullable(confirmedMillis).map(START::plusMillis), applied, commit);
    assertThat(committed.currentAt())
        .isEqualTo(expectedMillis == null ? Instant.MIN : START.plusMillis(expectedMillis));
  }

  @ParameterizedTest(name = "asked at {0}, told {1}, applied {2}: {3}")
  @CsvSource({"50, 5, 5, true", "50, 5, 6, true", "50, 6, 5, false"})
  void followersCountFromTheirQuestion(long askedMillis, long told, long applied, boolean current) {
    committed.answered(START.plusMillis(askedMillis), told);
    committed.advance(Optional.empty(), applied, applied);
    assertThat(committed.currentAt())
        .isEqualTo(current ? START.plusMillis(askedMillis) : Instant.MIN);
  }

  @ParameterizedTest(name = "asked at {0}, confirmed at {1}: answered {2}")
  @CsvSource({"100, 99, false", "100, 100, true", "100, 101, true"})
  void leadersAnswerOnlyWhatWasAskedBefore(long askedMillis, long confirmed, boolean answered) {
    committed.asked(new HostId("c2"), START, START.plusMillis(askedMillis));
    assertThat(
            committed.replies(
                Optional.of(START.plusMillis(confirmed)), 7, START.plusMillis(askedMillis + 50)))
        .hasSize(answered ? 1 : 0);
  }

  @ParameterizedTest(name = "{0} then {1}")
  @CsvSource({"100, 50", "100, 100"})
  void neverGoesBack(long first, long second) {
    committed.advance(Optional.of(START.plusMillis(first)), 1, 1);
    committed.advance(Optional.of(START.plusMillis(second)), 1, 1);
    assertThat(committed.currentAt()).isEqualTo(START.plusMillis(first));
  }
}
