package org.cuminwell.core.rollout;

/**
 * Tests whether the new version is worse than the old one by more than a tolerance. The test is
 * valid at any number of pairs and may be repeated after each pair.
 *
 * <p>It is a mixture of betting martingales. A pair counts 1 if only the new version's request was
 * bad, -1 if only the old version's was, else 0. While the new version is worse by at most the
 * tolerance, the expected value of a pair minus the tolerance is at most 0, whatever the load and
 * however the rates of both versions change over time; so for each bet the product of (1 + bet x
 * that difference) is a supermartingale, and by Ville's inequality the probability that it ever
 * exceeds 1/alpha is at most alpha. Stateless and thread safe.
 */
public final class SequentialTest {

  /**
   * The bets that are mixed, as fractions of the maximum bet; the small ones detect rare faults.
   */
  private static final double[] BET_FRACTIONS = {0.02, 0.06, 0.18, 0.45, 0.85};

  private SequentialTest() {}

  /**
   * Returns whether the pairs show that the new version is worse by more than the tolerance.
   *
   * @param tolerance how much more often the new version may be bad, as a difference of rates from
   *     0 to 1
   * @param alpha the probability of a false alarm, above 0 and below 1
   */
  public static boolean showsNewWorse(PairCounts pairs, double tolerance, double alpha) {
    return logEvidence(pairs, tolerance) >= -Math.log(alpha);
  }

  /**
   * Returns the natural logarithm of the evidence that the new version is worse by more than the
   * tolerance; 0 without any pairs.
   */
  public static double logEvidence(PairCounts pairs, double tolerance) {
    return logMixture(pairs, tolerance, 1 / (1 + tolerance));
  }

  /**
   * Returns the natural logarithm of the evidence that the new version is worse by less than the
   * margin.
   *
   * @param margin how much more often the new version may be bad, as a difference of rates above 0
   *     and below 1
   */
  public static double logEvidenceForNew(PairCounts pairs, double margin) {
    return logMixture(pairs, margin, -1 / (1 - margin));
  }

  /**
   * Returns the natural logarithm of the mean product over all bets.
   *
   * @param maxBet the bet on a worse new version at which a product could reach 0; below 0 to bet
   *     against a worse new version
   */
  private static double logMixture(PairCounts pairs, double threshold, double maxBet) {
    double[] logs = new double[BET_FRACTIONS.length];
    double maxLog = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < BET_FRACTIONS.length; i++) {
      double bet = BET_FRACTIONS[i] * maxBet;
      logs[i] =
          pairs.newWorse() * Math.log1p(bet * (1 - threshold))
              + pairs.oldWorse() * Math.log1p(-bet * (1 + threshold))
              + pairs.same() * Math.log1p(-bet * threshold);
      maxLog = Math.max(maxLog, logs[i]);
    }
    double sum = 0;
    for (double log : logs) {
      sum += Math.exp(log - maxLog);
    }
    return maxLog + Math.log(sum / BET_FRACTIONS.length);
  }
}
