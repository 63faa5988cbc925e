package org.cuminwell.core.crash;

import java.time.Duration;

/**
 * States that requests with a trait are refused, since they crash endpoints.
 *
 * <p>Of two suspensions of a trait the one with more strikes is later; of two with the same number
 * a lifted one is. Immutable and thread safe.
 *
 * @param strikes how often the trait was suspended; increases each time
 * @param lifted whether a request with the trait has been responded to since
 */
public record Suspension(Trait trait, int strikes, boolean lifted) {

  private static final Duration FIRST_HOLD = Duration.ofSeconds(30);
  private static final Duration MAX_HOLD = Duration.ofHours(1);
  private static final int MAX_DOUBLINGS = 7;

  /**
   * Checks the number of strikes.
   *
   * @throws IllegalArgumentException if it is not positive
   */
  public Suspension {
    if (strikes < 1) {
      throw new IllegalArgumentException("strikes must be at least 1; found " + strikes);
    }
  }

  /** Returns whether this suspension is later than {@code other}, which has the same trait. */
  boolean supersedes(Suspension other) {
    return strikes == other.strikes ? lifted && !other.lifted : strikes > other.strikes;
  }

  /** Returns how long all requests are refused before one is tried; it doubles with each strike. */
  public Duration hold() {
    Duration hold = FIRST_HOLD.multipliedBy(1L << Math.min(strikes - 1, MAX_DOUBLINGS));
    return hold.compareTo(MAX_HOLD) < 0 ? hold : MAX_HOLD;
  }
}
