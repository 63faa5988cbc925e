package org.cuminwell.shell.exchange;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

/**
 * Records when an event loop polled its connections, which bounds when the bytes arrived that it
 * reads now.
 *
 * <p>A periodic task of the loop records the time. Between two runs of it the loop has polled the
 * operating system for connections with unread bytes, after the first run, and has read from all of
 * them. So what is read after the second run was not there at the first. The exception is a
 * connection with more unread bytes than the loop reads at once: what follows them may count as
 * later than it arrived, by the time that the loop takes to get there. If the process is suspended,
 * the task doesn't run either, and the bound stays where it was. Confined to its loop, apart from
 * the constructor and {@link #start}.
 */
final class PollTimes {

  private static final Duration PERIOD = Duration.ofMillis(100);

  private final EventLoop loop;
  private final InstantSource time;
  private Instant previousRunAt;
  private Instant lastRunAt;

  /** Creates an instance that is not started. The time must include suspensions. */
  PollTimes(EventLoop loop, InstantSource time) {
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
