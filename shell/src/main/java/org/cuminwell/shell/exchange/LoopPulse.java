package org.cuminwell.shell.exchange;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

/**
 * Knows a time before which nothing arrived of what an event loop reads now.
 *
 * <p>A task of the loop notes the time again and again. Between two runs of it the loop has asked
 * the operating system for connections with unread bytes, after the first run, and has read from
 * all of them. So what is read after the second run was not there at the first. If the process is
 * suspended, the task doesn't run either, and the bound stays where it was. Confined to its loop,
 * apart from the constructor.
 */
final class LoopPulse {

  private static final Duration PERIOD = Duration.ofMillis(100);

  private final EventLoop loop;
  private final InstantSource time;
  private Instant previousRunAt;
  private Instant lastRunAt;

  /** Creates a pulse that has not been started. The time must include suspensions. */
  LoopPulse(EventLoop loop, InstantSource time) {
    this.loop = loop;
    this.time = time;
    this.previousRunAt = time.instant();
    this.lastRunAt = previousRunAt;
  }

  /** Starts the task, which goes on until the loop shuts down. Thread safe. */
  void start() {
    if (!loop.isShuttingDown()) {
      var _ = loop.schedule(this::run, PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns a time before which nothing arrived of what connections read now. */
  Instant arrivedAfter() {
    return previousRunAt;
  }

  private void run() {
    previousRunAt = lastRunAt;
    lastRunAt = time.instant();
    start();
  }
}
