package org.cuminwell.shell.duty;

import java.time.Duration;
import java.time.Instant;

/**
 * Divides the time in which a process has to end into one for what runs and one for closing.
 *
 * <p>Immutable and thread safe.
 *
 * @param startedAt when it was asked to end
 * @param endsAt when it must have ended
 */
public record StopClock(Instant startedAt, Instant endsAt) {

  /** The part of the time that is kept for closing. */
  private static final int CLOSING_PART = 8;

  private static final Duration LONGEST_CLOSING = Duration.ofSeconds(2);

  /** Returns the times of a stop that begins now and may take so long. */
  public static StopClock start(Duration timeout, Instant now) {
    return new StopClock(now, now.plus(timeout));
  }

  /** Returns how long what runs may go on. */
  public Duration running() {
    return Duration.between(startedAt, endsAt).minus(closing());
  }

  /** Returns how long one may still wait for what runs, with half of the time to close left. */
  public Duration leftToFinish(Instant now) {
    return notNegative(left(now).minus(closing().dividedBy(2)));
  }

  /** Returns how much time is left. */
  public Duration left(Instant now) {
    return notNegative(Duration.between(now, endsAt));
  }

  /** Returns how long ago the stop began. */
  public Duration after(Instant now) {
    return Duration.between(startedAt, now);
  }

  private Duration closing() {
    Duration part = Duration.between(startedAt, endsAt).dividedBy(CLOSING_PART);
    return part.compareTo(LONGEST_CLOSING) < 0 ? part : LONGEST_CLOSING;
  }

  private static Duration notNegative(Duration duration) {
    return duration.isNegative() ? Duration.ZERO : duration;
  }
}
