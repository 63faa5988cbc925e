package org.cuminwell.core.rollout;

/**
 * Counts pairs of a request at the new version and one at the old version that ended at about the
 * same time at the same gateway. Depending on what is compared, a request is bad if it failed or
 * was slow. Immutable and thread safe.
 *
 * @param newWorse the number of pairs in which only the new version's request was bad
 * @param oldWorse the number of pairs in which only the old version's request was bad
 * @param same the number of pairs in which both or neither were bad
 */
public record PairCounts(long newWorse, long oldWorse, long same) {

  /** The counts of no pairs. */
  public static final PairCounts NONE = new PairCounts(0, 0, 0);

  /** Returns the counts with one more pair. */
  public PairCounts with(boolean newBad, boolean oldBad) {
    if (newBad == oldBad) {
      return new PairCounts(newWorse, oldWorse, same + 1);
    }
    return newBad
        ? new PairCounts(newWorse + 1, oldWorse, same)
        : new PairCounts(newWorse, oldWorse + 1, same);
  }

  /** Returns the sum of both. */
  public PairCounts plus(PairCounts other) {
    return new PairCounts(newWorse + other.newWorse, oldWorse + other.oldWorse, same + other.same);
  }

  /** Returns the pairs added since the earlier counts. */
  public PairCounts minus(PairCounts earlier) {
    return new PairCounts(
        Math.max(0, newWorse - earlier.newWorse),
        Math.max(0, oldWorse - earlier.oldWorse),
        Math.max(0, same - earlier.same));
  }

  /** Returns the number of all pairs. */
  public long total() {
    return newWorse + oldWorse + same;
  }
}
