package org.cuminwell.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that libraries can't fill the log, and that nothing of the project's own is left out. */
final class LibraryLineLimitTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final LibraryLineLimit limit = new LibraryLineLimit();

  @ParameterizedTest(name = "{1} lines of {0}, one every {2} ms: {3} written")
  @CsvSource({
    "org.cuminwell.request, 1000, 1,    1000",
    "org.apache.pekko.http, 1000, 0,    20",
    "org.apache.pekko.http, 1000, 1,    20",
    "org.apache.pekko.http, 2000, 1,    40",
    "org.apache.pekko.http, 30,   1000, 30",
    // The clock may be set back.
    "org.apache.pekko.http, 30,   -100, 30",
  })
  void librariesWriteFewLinesAndTheOthersAreCounted(
      String logger, int lines, long gapMillis, int written) {
    long allowed =
        IntStream.range(0, lines)
            .filter(i -> limit.allows(logger, START.plusMillis(i * gapMillis)))
            .count();
    assertThat(allowed).isEqualTo(written);
    assertThat(limit.takeSuppressed()).isEqualTo(lines - written);
    assertThat(limit.takeSuppressed()).isZero();
  }
}
