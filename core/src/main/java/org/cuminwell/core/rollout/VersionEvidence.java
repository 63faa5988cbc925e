package org.cuminwell.core.rollout;

/**
 * Holds the observations of both versions during one step, at one gateway or at all together.
 *
 * <p>Counts only grow during a step, so a later sum replaces an earlier one. Immutable and thread
 * safe.
 *
 * @param failures pairs compared by failure
 * @param firstTokens pairs compared by slow first token
 * @param tokenGaps pairs compared by slow token gap
 * @param newRequests how many attempts at the new version have ended
 * @param oldRequests how many attempts at the old version have ended
 */
public record VersionEvidence(
    PairCounts failures,
    PairCounts firstTokens,
    PairCounts tokenGaps,
    long newRequests,
    long oldRequests) {

  /** The evidence without any observation. */
  public static final VersionEvidence NONE =
      new VersionEvidence(PairCounts.NONE, PairCounts.NONE, PairCounts.NONE, 0, 0);

  /** Returns the observations added since the earlier sum. */
  public VersionEvidence minus(VersionEvidence earlier) {
    return new VersionEvidence(
        failures.minus(earlier.failures),
        firstTokens.minus(earlier.firstTokens),
        tokenGaps.minus(earlier.tokenGaps),
        Math.max(0, newRequests - earlier.newRequests),
        Math.max(0, oldRequests - earlier.oldRequests));
  }

  /** Returns the sum of both. */
  public VersionEvidence plus(VersionEvidence other) {
    return new VersionEvidence(
        failures.plus(other.failures),
        firstTokens.plus(other.firstTokens),
        tokenGaps.plus(other.tokenGaps),
        newRequests + other.newRequests,
        oldRequests + other.oldRequests);
  }
}
