package org.cuminwell.shell.metrics;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Notes how long each step of a process' start took, and writes one line once the start is over.
 *
 * <p>A step ends where it is noted, and the next one begins there; the first begins with the
 * process. Steps noted again or after the last are ignored, so that callers need not remember.
 * Invariant: the line is written at most once. Thread safe.
 */
public final class StartSteps {

  private static final System.Logger LOG = System.getLogger(StartSteps.class.getName());

  private final InstantSource time;
  private final Supplier<Duration> processorTime;
  private final Map<String, Step> steps = new LinkedHashMap<>();
  private Instant endedAt;
  private Duration spent = Duration.ZERO;
  private boolean finished;

  private record Step(Duration wall, Duration processor) {}

  /**
   * Makes the steps of a start.
   *
   * @param begin when the process began
   * @param processorTime tells the processor time that the process has used up to now
   */
  StartSteps(Instant begin, InstantSource time, Supplier<Duration> processorTime) {
    this.time = time;
    this.processorTime = processorTime;
    this.endedAt = begin;
  }

  /** Makes the steps of this process, whose first began with the process itself. */
  public static StartSteps ofThisProcess() {
    ProcessHandle.Info info = ProcessHandle.current().info();
    InstantSource clock = InstantSource.system();
    return new StartSteps(
        info.startInstant().orElseGet(clock::instant),
        clock,
        () -> ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO));
  }

  /** Notes that the step has ended. */
  public synchronized void ended(String step) {
    if (finished || steps.containsKey(step)) {
      return;
    }
    Instant now = time.instant();
    Duration used = processorTime.get();
    steps.put(step, new Step(Duration.between(endedAt, now), used.minus(spent)));
    endedAt = now;
    spent = used;
  }

  /** Notes that the last step has ended, and writes the line. */
  public synchronized void finished(String step) {
    if (finished) {
      return;
    }
    ended(step);
    finished = true;
    LOG.log(System.Logger.Level.INFO, json());
  }

  /** Returns the steps as a JSON object, in milliseconds. */
  synchronized String json() {
    StringBuilder text = new StringBuilder("{\"event\":\"started\"");
    steps.forEach(
        (name, step) ->
            text.append(",\"" + name + "_wall_ms\":" + step.wall().toMillis())
                .append(",\"" + name + "_cpu_ms\":" + step.processor().toMillis()));
    return text.append('}').toString();
  }
}
