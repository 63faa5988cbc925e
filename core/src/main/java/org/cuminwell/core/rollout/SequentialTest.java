package org.cuminwell.core.rollout;

/**
 * Tests whether the new version is worse than the old by more than a tolerance, at any number of
 * pairs and as often as one likes.
 *
 * <p>It is a mixture of betting martingales. A pair counts 1 if only the new version's request was
 * bad, -1 if only the old one's was, else 0. While the new version is worse by at most the
 * tolerance, the expectation of a pair less the tolerance is not above 0, whatever the load and
 * however both versions' rates change in time; so each bet's product of (1 + bet x that) is a
 * supermartingale, and by Ville's inequality it ever exceeds 1/alpha with a probability of at most
 * alpha. Stateless and thread safe.
 */
public final class SequentialTest {

  /** The shares of the greatest allowed bet that are mixed, small ones for faults that are rare. */
  private static final double[] BETS = {0.02, 0.06, 0.18, 0.45, 0.85};

  private SequentialTest() {}

  /**
   * Returns whether the pairs show the new version to be worse.
   *
   * @param tolerance how much more often the new version may be bad, 0 to 1
   * @param alpha the probability of a false alarm, above 0 and below 1
   */
  public static boolean shows(PairCounts pairs, double tolerance, double alpha) {
    return logEvidence(pairs, tolerance) >= -Math.log(alpha);
  }

  /** Returns the natural logarithm of the evidence against the new version. */
  public static double logEvidence(PairCounts pairs, double tolerance) {
    return mixture(pairs, tolerance, 1 / (1 + tolerance));
  }

  /**
   * Returns the natural logarithm of the evidence that the new version is worse by less than the
   * margin.
   *
   * @param margin how much more often the new version may be bad, above 0 and below 1
   */
  public static double logEvidenceForNew(PairCounts pairs, double margin) {
    return mixture(pairs, margin, -1 / (1 - margin));
  }

  /**
   * Returns the logarithm of the mean product of bets.
   *
   * @param greatestBet the bet on a worse new version at which a product could reach 0; below 0 to
   *     bet against that
   */
  private static double mixture(PairCounts pairs, double threshold, double greatestBet) {
    double[] logs = new double[BETS.length];
    double greatest = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < BETS.length; i++) {
      double bet = BETS[i] * greatestBet;
      logs[i] =
          pairs.newWorse() * Math.log1p(bet * (1 - threshold))
              + pairs.oldWorse() * Math.log1p(-bet * (1 + threshold))
              + pairs.same() * Math.log1p(-bet * threshold);
      greatest = Math.max(greatest, logs[i]);
    }
    double sum = 0;
    for (double log : logs) {
      sum += Math.exp(log - greatest);
    }
    return greatest + Math.log(sum / BETS.length);
  }
}
