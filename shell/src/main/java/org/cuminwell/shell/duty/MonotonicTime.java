package org.cuminwell.shell.duty;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that never goes back, whatever happens to the system clock, and that includes the time in
 * which the host was suspended.
 *
 * <p>It starts from the system clock, so instants of different processes are roughly comparable,
 * and advances with {@link System#nanoTime}. That clock stands still while the host is suspended:
 * if between two readings the system clock gains more than {@link #MIN_SUSPENSION} on it, the gain
 * is added, so that leases expire during a suspension. Invariant: instants never go back. Thread
 * safe.
 */
public final class MonotonicTime implements InstantSource {

  /** The gain of the system clock between two readings above which it counts as a suspension. */
  static final Duration MIN_SUSPENSION = Duration.ofMillis(250);

  private final InstantSource system;
  private final LongSupplier steadyNanos;
  private final Instant start;
  private final long startNanos;
  private long lastAheadNanos;
  private long suspendedNanos;

  /** Creates a clock that starts at the system clock's present time. */
  public MonotonicTime() {
    this(InstantSource.system(), System::nanoTime);
  }

  /** Creates a clock on the given system clock and the given {@link System#nanoTime}. */
  MonotonicTime(InstantSource system, LongSupplier steadyNanos) {
    this.system = system;
    this.steadyNanos = steadyNanos;
    this.start = system.instant();
    this.startNanos = steadyNanos.getAsLong();
  }

  @Override
  public synchronized Instant instant() {
    long elapsedNanos = steadyNanos.getAsLong() - startNanos;
    long aheadNanos = Duration.between(start, system.instant()).toNanos() - elapsedNanos;
    if (aheadNanos - lastAheadNanos > MIN_SUSPENSION.toNanos()) {
      suspendedNanos += aheadNanos - lastAheadNanos;
    }
    lastAheadNanos = aheadNanos;
    return start.plusNanos(elapsedNanos + suspendedNanos);
  }
}
