package org.cuminwell.shell.duty;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Tells a time that never goes back, whatever happens to the system's clock, and that counts the
 * time in which the host was suspended.
 *
 * <p>It starts from the system's clock, so instants of different processes are roughly comparable.
 * The steady clock of a suspended host stands still; what the system's clock has run ahead of it at
 * once is added, so that leases lapse over a suspension. Invariant: instants never go back. Thread
 * safe.
 */
public final class MonotonicTime implements InstantSource {

  /** How far the system's clock must run ahead at once to count as a suspension. */
  static final Duration MIN_SUSPENSION = Duration.ofMillis(250);

  private final InstantSource system;
  private final LongSupplier steadyNanos;
  private final Instant start;
  private final long startNanos;
  private long lastAheadNanos;
  private long suspendedNanos;

  /** Makes a time that starts now. */
  public MonotonicTime() {
    this(InstantSource.system(), System::nanoTime);
  }

  MonotonicTime(InstantSource system, LongSupplier steadyNanos) {
    this.system = system;
    this.steadyNanos = steadyNanos;
    this.start = system.instant();
    this.startNanos = steadyNanos.getAsLong();
  }

  @Override
  public synchronized Instant instant() {
    long steady = steadyNanos.getAsLong() - startNanos;
    long ahead = Duration.between(start, system.instant()).toNanos() - steady;
    if (ahead - lastAheadNanos > MIN_SUSPENSION.toNanos()) {
      suspendedNanos += ahead - lastAheadNanos;
    }
    lastAheadNanos = ahead;
    return start.plusNanos(steady + suspendedNanos);
  }
}
