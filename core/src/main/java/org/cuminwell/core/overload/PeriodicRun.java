package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;

/**
 * Derives from the runs of a periodic task how long a loop delays what it handles.
 *
 * <p>What the loop handles now arrived after the run before the last was due, or waits in the
 * system since then. So the delay is at most the lateness of the last run and how late the next one
 * is by now. Not thread safe.
 */
public final class PeriodicRun {

  private final Duration period;
  private Instant nextDue;
  private Duration lateness = Duration.ZERO;

  /** Creates an instance whose task runs for the first time one period from now. */
  public PeriodicRun(Duration period, Instant now) {
    this.period = period;
    this.nextDue = now.plus(period);
  }

  /** Records a run, and that the next one is due one period from now. */
  public void recordRun(Instant now) {
    lateness = overdue(now);
    nextDue = now.plus(period);
  }

  /** Returns the delay of what is handled now. */
  public Duration delay(Instant now) {
    return lateness.plus(overdue(now));
  }

  private Duration overdue(Instant now) {
    Duration late = Duration.between(nextDue, now);
    return late.isNegative() ? Duration.ZERO : late;
  }
}
