package org.cuminwell.shell.duty;

import java.util.logging.Handler;
import java.util.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Ends a process that can no longer do all its duties. Stateless and thread safe. */
public final class FailedProcess {

  private static final System.Logger LOG = System.getLogger(FailedProcess.class.getName());

  /** The exit code of a process that halts because a duty failed. */
  private static final int EXIT_CODE = 70;

  private FailedProcess() {}

  /**
   * Logs the reason and halts the process; a supervisor is expected to restart it.
   *
   * @param reason a clause that says what failed
   */
  public static void halt(String reason, @Nullable Throwable error) {
    LOG.log(System.Logger.Level.ERROR, "the process ends, since " + reason, error);
    flushLog();
    Runtime.getRuntime().halt(EXIT_CODE);
  }

  /** Flushes buffered log lines, since a halt runs no shutdown hooks. */
  private static void flushLog() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }
}
