package org.cuminwell.core.model;

/**
 * Limits how much worse a new version may do than the old one before it is rolled back.
 *
 * <p>Invariant: {@code firstShare} is above 0 and at most 1, {@code maxFailureRise} is from 0 to 1
 * and {@code maxSlowdown} is at least 1. Immutable and thread safe.
 *
 * @param firstShare the share of the traffic that the new version gets at first, 0 to 1
 * @param maxFailureRise how far its failure rate may exceed the old version's, as a difference of
 *     rates from 0 to 1
 * @param maxSlowdown the maximum ratio of its latency to the old version's
 */
public record RolloutBounds(double firstShare, double maxFailureRise, double maxSlowdown) {

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if a bound is out of its range
   */
  public RolloutBounds {
    if (!(firstShare > 0 && firstShare <= 1)) {
      throw new IllegalArgumentException("first share must be above 0 and at most 1");
    }
    if (!(maxFailureRise >= 0 && maxFailureRise <= 1)) {
      throw new IllegalArgumentException("failure rise must be from 0 to 1");
    }
    if (!(maxSlowdown >= 1)) {
      throw new IllegalArgumentException("slowdown must be at least 1");
    }
  }
}
