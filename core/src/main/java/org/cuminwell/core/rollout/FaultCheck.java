package org.cuminwell.core.rollout;

import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.RolloutBounds;

/**
 * Judges evidence by the bounds of a move. Stateless and thread safe.
 *
 * <p>The three tests share the probability of a false alarm.
 */
public final class FaultCheck {

  /** The probability that a good version is taken back, over all steps and tests of its move. */
  public static final double FALSE_ALARM_RATE = 0.01;

  /** How many steps share the false alarm rate. */
  static final int MAX_STEPS = 10;

  /** How much more often the new version's request may be the slow one of a pair. */
  static final double SLOW_TOLERANCE = 0.05;

  /** How strong evidence against the new version must be to hold its share. */
  private static final double HOLD_EVIDENCE = 3;

  private static final int TESTS = 3;

  /** By how much less than this the new version must be worse in pairs, to be proven. */
  private static final double PROOF_MARGIN = 0.3;

  /** How strong the evidence of that must be. */
  private static final double PROOF_EVIDENCE = 5;

  private FaultCheck() {}

  /** Returns what fault shows, on one route or over all, if one does. */
  public static Optional<String> fault(RolloutEvidence seen, RolloutBounds bounds) {
    List<VersionEvidence> judged = seen.judged();
    double alpha = FALSE_ALARM_RATE / (TESTS * MAX_STEPS * judged.size());
    return judged.stream().flatMap(part -> fault(part, bounds, alpha).stream()).findFirst();
  }

  private static Optional<String> fault(VersionEvidence seen, RolloutBounds bounds, double alpha) {
    if (SequentialTest.shows(seen.failures(), bounds.maxFailureRise(), alpha)) {
      return Optional.of(describe("fails", seen.failures()));
    }
    if (SequentialTest.shows(seen.firstTokens(), SLOW_TOLERANCE, alpha)) {
      return Optional.of(describe("is slow to the first token", seen.firstTokens()));
    }
    if (SequentialTest.shows(seen.tokenGaps(), SLOW_TOLERANCE, alpha)) {
      return Optional.of(describe("is slow between tokens", seen.tokenGaps()));
    }
    return Optional.empty();
  }

  /** Returns whether the evidence leans against the new version, so that a raise must wait. */
  public static boolean isDoubtful(RolloutEvidence seen, RolloutBounds bounds) {
    return leansAgainst(seen, bounds, HOLD_EVIDENCE);
  }

  /** Returns whether the evidence against the new version is stronger than the limit. */
  static boolean leansAgainst(RolloutEvidence seen, RolloutBounds bounds, double limit) {
    return seen.judged().stream().anyMatch(part -> leansAgainst(part, bounds, Math.log(limit)));
  }

  private static boolean leansAgainst(VersionEvidence seen, RolloutBounds bounds, double limit) {
    return SequentialTest.logEvidence(seen.failures(), bounds.maxFailureRise()) > limit
        || SequentialTest.logEvidence(seen.firstTokens(), SLOW_TOLERANCE) > limit
        || SequentialTest.logEvidence(seen.tokenGaps(), SLOW_TOLERANCE) > limit;
  }

  /** Returns whether the pairs show that the new version is hardly worse. */
  public static boolean isProven(VersionEvidence seen) {
    return isProven(seen.failures())
        && isProven(seen.firstTokens())
        && (seen.tokenGaps().total() == 0 || isProven(seen.tokenGaps()));
  }

  private static boolean isProven(PairCounts pairs) {
    return SequentialTest.logEvidenceForNew(pairs, PROOF_MARGIN) > Math.log(PROOF_EVIDENCE);
  }

  private static String describe(String what, PairCounts pairs) {
    return "the new version "
        + what
        + ": worse in "
        + pairs.newWorse()
        + " and better in "
        + pairs.oldWorse()
        + " of "
        + pairs.total()
        + " pairs";
  }
}
