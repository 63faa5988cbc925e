package org.cuminwell.shell.metrics;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Measures how long each step of the start of a process takes, and logs one line after the last.
 *
 * <p>The first step begins when the process starts, and each further step at the end of the one
 * before. A step that is recorded twice, or after the last step, is ignored, so that callers need
 * not keep track. Invariant: the line is logged at most once. Thread safe.
 */
public final class StartSteps {

  private static final System.Logger LOG = System.getLogger(StartSteps.class.getName());

  private final InstantSource clock;
  private final Supplier<Duration> cpuTime;
  private final Map<String, Step> steps = new LinkedHashMap<>();
  private Instant lastStepEndedAt;
  private Duration cpuTimeAtLastStep = Duration.ZERO;
  private boolean finished;

  /** Holds the wall-clock time and the CPU time that a step took. Immutable and thread safe. */
  private record Step(Duration wallTime, Duration cpuTime) {}

  /**
   * Creates the measurement of a start.
   *
   * @param processStartedAt when the process started
   * @param cpuTime gives the CPU time that the process has used up to now
   */
  StartSteps(Instant processStartedAt, InstantSource clock, Supplier<Duration> cpuTime) {
    this.clock = clock;
    this.cpuTime = cpuTime;
    this.lastStepEndedAt = processStartedAt;
  }

  /**
   * Creates the measurement for this process.
   *
   * <p>Where the system does not report the start of the process, the first step begins now; where
   * it does not report CPU times, they are zero.
   */
  public static StartSteps ofThisProcess() {
    ProcessHandle.Info info = ProcessHandle.current().info();
    InstantSource clock = InstantSource.system();
    return new StartSteps(
        info.startInstant().orElseGet(clock::instant),
        clock,
        () -> ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO));
  }

  /** Records that the step has ended now. */
  public synchronized void recordStepEnd(String step) {
    if (finished || steps.containsKey(step)) {
      return;
    }
    Instant now = clock.instant();
    Duration cpuTimeNow = cpuTime.get();
    steps.put(
        step,
        new Step(Duration.between(lastStepEndedAt, now), cpuTimeNow.minus(cpuTimeAtLastStep)));
    lastStepEndedAt = now;
    cpuTimeAtLastStep = cpuTimeNow;
  }

  /** Records that the last step has ended now, and logs the times of all steps. */
  public synchronized void recordLastStepEnd(String step) {
    if (finished) {
      return;
    }
    recordStepEnd(step);
    finished = true;
    LOG.log(System.Logger.Level.INFO, toJson());
  }

  /** Returns the log line: a JSON object with the times of each step, in milliseconds. */
  synchronized String toJson() {
    StringBuilder text = new StringBuilder("{\"event\":\"started\"");
    steps.forEach(
        (name, step) ->
            text.append(",\"" + name + "_wall_ms\":" + step.wallTime().toMillis())
                .append(",\"" + name + "_cpu_ms\":" + step.cpuTime().toMillis()));
    return text.append('}').toString();
  }
}
