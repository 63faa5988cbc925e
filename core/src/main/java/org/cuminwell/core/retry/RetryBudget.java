package org.cuminwell.core.retry;

/**
 * Limits the retries of one gateway to a fraction of its first attempts, so that retries can't
 * double the load of a system that is already failing.
 *
 * <p>Each first attempt adds a fraction of a retry to the budget, and each retry spends a whole
 * one. Invariant: over any sequence of attempts the number of retries is at most the maximum
 * balance plus what the first attempts added. Not thread safe: one thread owns it.
 */
public final class RetryBudget {

  /** The retries that one first attempt adds. */
  public static final double RETRIES_PER_REQUEST = 0.2;

  /** The maximum and initial balance, in retries. */
  public static final double MAX_BALANCE = 20;

  private final double retriesPerRequest;
  private double maxBalance;
  private double balance;

  /** Creates a budget with the default ratio and balance. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_BALANCE);
  }

  /**
   * Creates a budget.
   *
   * @param retriesPerRequest the retries that one first attempt adds
   * @param maxBalance the maximum and initial balance, in retries
   */
  public RetryBudget(double retriesPerRequest, double maxBalance) {
    this.retriesPerRequest = retriesPerRequest;
    this.maxBalance = maxBalance;
    this.balance = maxBalance;
  }

  /** Creates a budget without a balance, which first attempts have to earn. */
  public static RetryBudget empty(double retriesPerRequest, double maxBalance) {
    RetryBudget budget = new RetryBudget(retriesPerRequest, maxBalance);
    budget.balance = 0;
    return budget;
  }

  /** Limits the balance from now on to the given one. */
  public void setMaxBalance(double retries) {
    maxBalance = retries;
    balance = Math.min(balance, retries);
  }

  /** Records a first attempt, which adds to the balance. */
  public void recordFirstAttempt() {
    balance = Math.min(maxBalance, balance + retriesPerRequest);
  }

  /** Returns whether the balance suffices for a retry. */
  public boolean hasAvailable() {
    return balance >= 1;
  }

  /** Spends one retry if the balance suffices, and returns whether it did. */
  public boolean trySpend() {
    if (!hasAvailable()) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
