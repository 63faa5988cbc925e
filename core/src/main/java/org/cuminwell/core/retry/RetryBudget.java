package org.cuminwell.core.retry;

/**
 * Bounds the retries of one gateway to a share of its first attempts, so that retries can't double
 * the load of a system that is failing already.
 *
 * <p>Each first attempt earns a part of a retry; each retry spends a whole one. Invariant: over any
 * run of attempts the retries are at most the most that can be saved plus what the first attempts
 * earned. Not thread safe: one thread owns it.
 */
public final class RetryBudget {

  /** What one first attempt earns, in retries. */
  public static final double EARNED_PER_REQUEST = 0.2;

  /** The most that can be saved up, in retries; also what a new gateway starts with. */
  public static final double MAX_SAVED = 20;

  private final double earnedPerRequest;
  private final double maxSaved;
  private double saved;

  /** Makes a budget of the usual size. */
  public RetryBudget() {
    this(EARNED_PER_REQUEST, MAX_SAVED);
  }

  /**
   * Makes a budget.
   *
   * @param earnedPerRequest what one first attempt earns, in retries
   * @param maxSaved the most that can be saved up, in retries; also what it starts with
   */
  public RetryBudget(double earnedPerRequest, double maxSaved) {
    this.earnedPerRequest = earnedPerRequest;
    this.maxSaved = maxSaved;
    this.saved = maxSaved;
  }

  /** Counts a first attempt. */
  public void recordFirstAttempt() {
    saved = Math.min(maxSaved, saved + earnedPerRequest);
  }

  /** Returns whether a retry could be spent now. */
  public boolean hasAvailable() {
    return saved >= 1;
  }

  /** Spends one retry if it has been earned, and returns whether it had. */
  public boolean trySpend() {
    if (!hasAvailable()) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
