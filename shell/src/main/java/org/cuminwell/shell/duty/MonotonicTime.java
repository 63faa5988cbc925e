package org.cuminwell.shell.duty;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Tells a time that never goes back, whatever happens to the system's clock.
 *
 * <p>It starts from the system's clock, so instants of different processes are roughly comparable.
 * Immutable and thread safe.
 */
public final class MonotonicTime implements InstantSource {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
