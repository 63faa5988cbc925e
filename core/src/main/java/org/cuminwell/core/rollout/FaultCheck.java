package org.cuminwell.core.rollout;

import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.RolloutBounds;

/**
 * Checks evidence against the bounds of a rollout. Stateless and thread safe.
 *
 * <p>The three tests, of failures, of times to the first token and of times between tokens, share
 * the probability of a false alarm.
 */
public final class FaultCheck {

  /**
   * The probability that a good version is rolled back, over all steps and tests of its rollout.
   */
  public static final double FALSE_ALARM_RATE = 0.01;

  /** The number of steps that share the false alarm rate. */
  static final int MAX_STEPS = 10;

  /**
   * How much more often than the old version's request the new version's may be the slow one of a
   * pair, as a difference of rates.
   */
  static final double SLOW_TOLERANCE = 0.05;

  /**
   * The evidence against the new version above which its share is not raised; 1 is the evidence
   * without any pairs.
   */
  private static final double MAX_EVIDENCE_TO_RAISE = 3;

  private static final int TESTS = 3;

  /**
   * The margin of the proof: the new version must be worse in pairs by less than this, as a
   * difference of rates.
   */
  private static final double PROOF_MARGIN = 0.3;

  /** The evidence above which that margin is proven. */
  private static final double MIN_PROOF_EVIDENCE = 5;

  private FaultCheck() {}

  /**
   * Returns a description of a fault that the evidence shows, on one route or over all; empty if it
   * shows none.
   */
  public static Optional<String> findFault(RolloutEvidence evidence, RolloutBounds bounds) {
    List<VersionEvidence> parts = evidence.parts();
    double alpha = FALSE_ALARM_RATE / (TESTS * MAX_STEPS * parts.size());
    return parts.stream().flatMap(part -> findFault(part, bounds, alpha).stream()).findFirst();
  }

  private static Optional<String> findFault(
      VersionEvidence evidence, RolloutBounds bounds, double alpha) {
    if (SequentialTest.showsNewWorse(evidence.failures(), bounds.maxFailureRise(), alpha)) {
      return Optional.of(describe("fails", evidence.failures()));
    }
    if (SequentialTest.showsNewWorse(evidence.firstTokens(), SLOW_TOLERANCE, alpha)) {
      return Optional.of(describe("is slow to the first token", evidence.firstTokens()));
    }
    if (SequentialTest.showsNewWorse(evidence.tokenGaps(), SLOW_TOLERANCE, alpha)) {
      return Optional.of(describe("is slow between tokens", evidence.tokenGaps()));
    }
    return Optional.empty();
  }

  /**
   * Returns whether there is so much evidence against the new version that its share must not be
   * raised.
   */
  public static boolean isAgainstNew(RolloutEvidence evidence, RolloutBounds bounds) {
    return exceedsEvidence(evidence, bounds, MAX_EVIDENCE_TO_RAISE);
  }

  /** Returns whether the evidence against the new version exceeds the limit. */
  static boolean exceedsEvidence(RolloutEvidence evidence, RolloutBounds bounds, double limit) {
    return evidence.parts().stream()
        .anyMatch(part -> exceedsLogEvidence(part, bounds, Math.log(limit)));
  }

  private static boolean exceedsLogEvidence(
      VersionEvidence evidence, RolloutBounds bounds, double logLimit) {
    return SequentialTest.logEvidence(evidence.failures(), bounds.maxFailureRise()) > logLimit
        || SequentialTest.logEvidence(evidence.firstTokens(), SLOW_TOLERANCE) > logLimit
        || SequentialTest.logEvidence(evidence.tokenGaps(), SLOW_TOLERANCE) > logLimit;
  }

  /**
   * Returns whether the pairs prove that the new version is worse by less than {@link
   * #PROOF_MARGIN}.
   */
  public static boolean isProven(VersionEvidence evidence) {
    return isProven(evidence.failures())
        && isProven(evidence.firstTokens())
        && (evidence.tokenGaps().total() == 0 || isProven(evidence.tokenGaps()));
  }

  private static boolean isProven(PairCounts pairs) {
    return SequentialTest.logEvidenceForNew(pairs, PROOF_MARGIN) > Math.log(MIN_PROOF_EVIDENCE);
  }

  private static String describe(String fault, PairCounts pairs) {
    return "the new version "
        + fault
        + ": worse in "
        + pairs.newWorse()
        + " and better in "
        + pairs.oldWorse()
        + " of "
        + pairs.total()
        + " pairs";
  }
}
