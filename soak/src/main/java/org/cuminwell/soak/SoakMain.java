package org.cuminwell.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Runs the soak from the command line. Not thread safe. */
public final class SoakMain {

  private static final int OK = 0;
  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;
  private static final long BYTES_PER_PROCESS = 220L * 1024 * 1024;
  private static final int MOST_SHOWN = 10;

  @Parameter(names = "--seed", description = "the first seed; a seed determines its plan")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "how many seeds are run one after another")
  private int seeds = 1;

  @Parameter(names = "--seconds", description = "how long the faults of a seed last")
  private int seconds = 60;

  @Parameter(names = "--gateways", description = "the number of gateways, over three regions")
  private int gateways = 6;

  @Parameter(names = "--callers", description = "the number of callers")
  private int callers = 120;

  @Parameter(names = "--checkout", description = "the folder of the repository")
  private String checkout = ".";

  @Parameter(names = "--jar", description = "the program that is run")
  private String jar = "app/target/cuminwell-app-0.1.0-all.jar";

  @Parameter(names = "--folder", description = "where settings, data and logs are kept")
  private String folder = "target/soak";

  private SoakMain() {}

  /**
   * Runs the soak and exits with 0 if all rules held, 1 if one was broken, 2 if it could not run.
   */
  public static void main(String[] words) throws InterruptedException {
    System.exit(run(words, System.out));
  }

  static int run(String[] words, PrintStream out) throws InterruptedException {
    SoakMain main = new SoakMain();
    try {
      JCommander.newBuilder().addObject(main).programName("soak").build().parse(words);
      main.check();
    } catch (ParameterException e) {
      out.println("soak: " + e.getMessage());
      return COULD_NOT_RUN;
    }
    try {
      return main.runSeeds(out);
    } catch (IOException | IllegalStateException e) {
      out.println("soak: " + e.getMessage());
      return COULD_NOT_RUN;
    }
  }

  /** Checks the flags before anything is started. */
  private void check() {
    if (seeds < 1 || seconds < 1 || gateways < 1 || callers < 1) {
      throw new ParameterException("numbers must be 1 or more");
    }
    if (!Files.isRegularFile(program())) {
      throw new ParameterException("--jar: no file " + program() + "; run ./build verify first");
    }
    var system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    long needed = (gateways + Deployment.REGIONS) * BYTES_PER_PROCESS;
    if (needed > system.getTotalMemorySize() / 2) {
      throw new ParameterException("--gateways: so many need over half of this machine's memory");
    }
  }

  private Path program() {
    return root().resolve(jar);
  }

  private Path root() {
    return Path.of(checkout).toAbsolutePath().normalize();
  }

  private int runSeeds(PrintStream out) throws IOException, InterruptedException {
    Soak.Size size =
        new Soak.Size(gateways, callers, Duration.ofMillis(500), Duration.ofSeconds(seconds));
    Path runs = root().resolve(folder);
    Soak soak = new Soak(root(), program(), runs, size);
    int code = OK;
    for (long next = seed; next < seed + seeds; next++) {
      out.println("seed " + next);
      List<RuleResult> results = soak.run(next);
      for (RuleResult result : results) {
        print(result, out);
        code = result.violations().isEmpty() ? code : BROKEN;
      }
      keepLines(runs.resolve("seed-" + next), results);
    }
    return code;
  }

  private static void print(RuleResult result, PrintStream out) {
    out.println(result.describe());
    result.violations().stream()
        .limit(MOST_SHOWN)
        .forEach(violation -> out.println("  " + violation.what()));
  }

  /** Keeps the lines that name the requests of broken rules beside the logs. */
  private static void keepLines(Path runFolder, List<RuleResult> results) throws IOException {
    Set<String> requests =
        results.stream()
            .flatMap(result -> result.violations().stream())
            .flatMap(violation -> violation.requests().stream())
            .collect(Collectors.toSet());
    if (!requests.isEmpty()) {
      Files.write(runFolder.resolve("broken.txt"), LogSearch.find(runFolder, requests));
    }
  }
}
