package org.cuminwell.core.retry;

/**
 * Bounds the retries of one gateway to a share of its first attempts, so that retries can't double
 * the load of a system that is failing already.
 *
 * <p>Each first attempt earns a part of a retry; each retry spends a whole one. Invariant: over any
 * run of attempts the retries are at most {@link #MAX_SAVED} plus {@link #EARNED_PER_REQUEST} times
 * the first attempts. Not thread safe: one thread owns it.
 */
public final class RetryBudget {

  /** What one first attempt earns, in retries. */
  public static final double EARNED_PER_REQUEST = 0.2;

  /** The most that can be saved up, in retries; also what a new gateway starts with. */
  public static final double MAX_SAVED = 20;

  private double saved = MAX_SAVED;

  /** Counts a first attempt. */
  public void earn() {
    saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
  }

  /** Returns whether a retry could be spent now. */
  public boolean hasSome() {
    return saved >= 1;
  }

  /** Spends one retry if it has been earned, and returns whether it had. */
  public boolean trySpend() {
    if (!hasSome()) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
