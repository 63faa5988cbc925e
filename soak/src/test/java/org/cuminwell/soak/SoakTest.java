package org.cuminwell.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the real programs for a short while. */
@Timeout(240)
final class SoakTest {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final Path PROGRAM = ROOT.resolve("app/target/cuminwell-app-0.1.0-all.jar");

  @TempDir Path folder;

  @ParameterizedTest(name = "seed {0}, which tests {1}")
  @CsvSource({"42, LOST", "43, BUDGET"})
  void rulesHoldWhileGatewaysStopInSeries(long seed, String rule)
      throws IOException, InterruptedException {
    Soak.Size size = new Soak.Size(4, 60, Duration.ofMillis(500), Duration.ofSeconds(30));
    List<RuleResult> results = new Soak(ROOT, PROGRAM, folder, size).run(seed);

    assertThat(results).allSatisfy(result -> assertThat(result.violations()).isEmpty());
    assertThat(results)
        .filteredOn(result -> result.rule().equals(rule))
        .allSatisfy(result -> assertThat(result.tested()).isPositive())
        .hasSize(1);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "--seeds 0,                   numbers must be 1 or more",
    "--gateways 100000,           half of this machine's memory",
    "--jar nowhere.jar,           run ./build verify first",
    "--unknown 1,                 --unknown",
    "--seconds many,              --seconds",
  })
  void wrongFlagsStartNothing(String flags, String message) throws InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String words = "--checkout " + ROOT + " --folder " + folder + " " + flags;
    int code =
        SoakMain.run(words.split(" ", -1), new PrintStream(out, true, StandardCharsets.UTF_8));

    assertThat(code).isEqualTo(2);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains(message);
    assertThat(folder).isEmptyDirectory();
  }
}
