package org.cuminwell.shell.duty;

import java.time.Duration;
import java.time.Instant;

/**
 * Divides the time that a process has for a graceful stop: first it drains the work in progress,
 * then it closes its connections and threads.
 *
 * <p>Immutable and thread safe.
 *
 * @param startedAt when the stop was requested
 * @param deadline when the stop must be complete
 */
public record StopTimeBudget(Instant startedAt, Instant deadline) {

  /** One part in this many of the whole time is reserved for closing. */
  private static final int CLOSING_TIME_DIVISOR = 8;

  private static final Duration MAX_CLOSING_TIME = Duration.ofSeconds(2);

  /** Returns the budget of a stop that starts now and may take as long as the timeout. */
  public static StopTimeBudget start(Duration timeout, Instant now) {
    return new StopTimeBudget(now, now.plus(timeout));
  }

  /** Returns the whole time for draining: all but the closing time. */
  public Duration drainTime() {
    return Duration.between(startedAt, deadline).minus(closingTime());
  }

  /**
   * Returns how long draining may still be waited for; 0 if it is over. It may use half of the
   * closing time too.
   */
  public Duration drainTimeLeft(Instant now) {
    return notNegative(timeLeft(now).minus(closingTime().dividedBy(2)));
  }

  /** Returns the time until the deadline, 0 if it has passed. */
  public Duration timeLeft(Instant now) {
    return notNegative(Duration.between(now, deadline));
  }

  /** Returns the time since the stop was requested. */
  public Duration elapsed(Instant now) {
    return Duration.between(startedAt, now);
  }

  private Duration closingTime() {
    Duration fraction = Duration.between(startedAt, deadline).dividedBy(CLOSING_TIME_DIVISOR);
    return fraction.compareTo(MAX_CLOSING_TIME) < 0 ? fraction : MAX_CLOSING_TIME;
  }

  private static Duration notNegative(Duration duration) {
    return duration.isNegative() ? Duration.ZERO : duration;
  }
}
