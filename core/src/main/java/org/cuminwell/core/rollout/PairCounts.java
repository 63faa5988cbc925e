package org.cuminwell.core.rollout;

/**
 * Counts pairs of one request at the new version and one at the old that ended at about the same
 * time at the same gateway. Immutable and thread safe.
 *
 * @param newWorse pairs of which only the new version's request was bad
 * @param oldWorse pairs of which only the old version's request was bad
 * @param same pairs of which both or neither were bad
 */
public record PairCounts(long newWorse, long oldWorse, long same) {

  /** No pairs. */
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

  /** Returns the sums of both. */
  public PairCounts plus(PairCounts other) {
    return new PairCounts(newWorse + other.newWorse, oldWorse + other.oldWorse, same + other.same);
  }

  /** Returns what these counts have beyond earlier ones. */
  public PairCounts minus(PairCounts earlier) {
    return new PairCounts(
        Math.max(0, newWorse - earlier.newWorse),
        Math.max(0, oldWorse - earlier.oldWorse),
        Math.max(0, same - earlier.same));
  }

  /** Returns how many pairs there are. */
  public long total() {
    return newWorse + oldWorse + same;
  }
}
