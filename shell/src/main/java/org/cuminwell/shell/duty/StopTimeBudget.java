package org.cuminwell.shell.duty;

import java.time.Duration;
import java.time.Instant;

/**
 * Divides the time in which a process has to end into one for what runs and one for closing.
 *
 * <p>Immutable and thread safe.
 *
 * @param startedAt when it was asked to end
 * @param deadline when it must have ended
 */
public record StopTimeBudget(Instant startedAt, Instant deadline) {

  /** The part of the time that is kept for closing. */
  private static final int CLOSING_TIME_DIVISOR = 8;

  private static final Duration MAX_CLOSING_TIME = Duration.ofSeconds(2);

  /** Returns the times of a stop that begins now and may take so long. */
  public static StopTimeBudget start(Duration timeout, Instant now) {
    return new StopTimeBudget(now, now.plus(timeout));
  }

  /** Returns how long what runs may go on. */
  public Duration drainTime() {
    return Duration.between(startedAt, deadline).minus(closingTime());
  }

  /** Returns how long one may still wait for what runs, with half of the time to close left. */
  public Duration drainTimeLeft(Instant now) {
    return notNegative(timeLeft(now).minus(closingTime().dividedBy(2)));
  }

  /** Returns how much time is left. */
  public Duration timeLeft(Instant now) {
    return notNegative(Duration.between(now, deadline));
  }

  /** Returns how long ago the stop began. */
  public Duration elapsed(Instant now) {
    return Duration.between(startedAt, now);
  }

  private Duration closingTime() {
    Duration part = Duration.between(startedAt, deadline).dividedBy(CLOSING_TIME_DIVISOR);
    return part.compareTo(MAX_CLOSING_TIME) < 0 ? part : MAX_CLOSING_TIME;
  }

  private static Duration notNegative(Duration duration) {
    return duration.isNegative() ? Duration.ZERO : duration;
  }
}
