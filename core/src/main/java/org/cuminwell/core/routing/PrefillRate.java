package org.cuminwell.core.routing;

/**
 * Estimates the prefill rate of one engine, or of all engines, in tokens per second.
 *
 * <p>One of many gateways observes each engine too rarely to estimate its rate alone. So the rate
 * of an engine starts at that of all engines and departs from it as observations accumulate.
 * Invariant: the rate stays between {@link #MIN_TOKENS_PER_SECOND} and {@link
 * #MAX_TOKENS_PER_SECOND}. Not thread safe: one thread owns it.
 */
final class PrefillRate {

  /** The rate assumed before the first observation. */
  static final double INITIAL_TOKENS_PER_SECOND = 30_000;

  private static final double MIN_TOKENS_PER_SECOND = 3_000;
  private static final double MAX_TOKENS_PER_SECOND = 1_000_000;

  /** The weight of a new observation in the moving mean. */
  private static final double WEIGHT = 0.02;

  /** The factor by which one observation of a saturated engine lowers the rate. */
  private static final double SATURATION_FACTOR = 0.99;

  /**
   * The number of observations at which an engine's own rate weighs as much as that of all engines.
   */
  private static final double SHARED_RATE_WEIGHT = 50;

  private double estimate = INITIAL_TOKENS_PER_SECOND;
  private int observations;

  /** Updates the rate from an observation. */
  void observe(double tokensPerSecond) {
    estimate +=
        WEIGHT
            * (Math.min(MAX_TOKENS_PER_SECOND, Math.max(MIN_TOKENS_PER_SECOND, tokensPerSecond))
                - estimate);
    observations++;
  }

  /** Lowers the rate, since the engine was saturated and so can't be faster than assumed. */
  void lowerWhenSaturated() {
    estimate = Math.max(MIN_TOKENS_PER_SECOND, estimate * SATURATION_FACTOR);
    observations++;
  }

  double tokensPerSecond() {
    return estimate;
  }

  /**
   * Returns the mean of this rate and that of {@code all} engines, weighted by the number of
   * observations of this one.
   */
  double tokensPerSecond(PrefillRate all) {
    return (observations * estimate + SHARED_RATE_WEIGHT * all.estimate)
        / (observations + SHARED_RATE_WEIGHT);
  }
}
