package org.cuminwell.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Starts, signals and ends one process of the system, which may be started again.
 *
 * <p>Invariant: at most one process runs at a time. Thread safe.
 */
final class SystemProcess {

  private final String name;
  private final List<String> command;
  private final Path folder;
  private final Path log;
  private final InstantSource time;
  private final History history;
  private @Nullable Process process;
  private boolean stopping;

  /**
   * Creates a process that is not started.
   *
   * @param folder the working folder
   * @param log the file to which its output is appended
   */
  SystemProcess(
      String name,
      List<String> command,
      Path folder,
      Path log,
      InstantSource time,
      History history) {
    this.name = name;
    this.command = command;
    this.folder = folder;
    this.log = log;
    this.time = time;
    this.history = history;
  }

  String name() {
    return name;
  }

  synchronized void start() throws IOException {
    if (isAlive()) {
      throw new IllegalStateException(name + " runs already");
    }
    process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Claims the process for a stop, and returns false if it is being stopped or does not run. */
  synchronized boolean tryBeginStop() {
    boolean begins = !stopping && isAlive();
    stopping |= begins;
    return begins;
  }

  /** Ends the claim of {@link #tryBeginStop}. */
  synchronized void endStop() {
    stopping = false;
  }

  /** Sends a signal, such as TERM or HUP, unless the process has ended. */
  void signal(String signal) throws IOException, InterruptedException {
    Process target;
    synchronized (this) {
      target = process;
    }
    if (target != null && target.isAlive()) {
      Instant at = time.instant();
      new ProcessBuilder("kill", "-" + signal, Long.toString(target.pid())).start().waitFor();
      history.add(new History.Signal(name, signal, at));
    }
  }

  /** Waits until the process has ended, and returns whether it has. */
  boolean awaitEnd(Duration atMost) throws InterruptedException {
    Process target;
    synchronized (this) {
      target = process;
    }
    return target == null || target.waitFor(atMost.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Ends the process at once, if it runs. */
  synchronized void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
