package org.cuminwell.core.limit;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Divides a burst that is too small for one request of every gateway that sends requests.
 *
 * <p>Equal parts would each be smaller than a request, so that none could be admitted. Instead,
 * gateways whose requests wait get the burst for one request each, in the order in which they began
 * to wait, until they have received the credited tokens; all others get none. Stateless and thread
 * safe.
 */
final class SingleRequestAllocator {

  private SingleRequestAllocator() {}

  /** Returns whether the largest requests of all holders together exceed {@code burst} tokens. */
  static boolean exceedBurst(long burst, List<GrantedShare> holders) {
    return holders.stream().mapToLong(h -> h.demand().largestTokens()).sum() > burst;
  }

  /** Returns the part of {@code burst} that each holder should have, in tokens. */
  static double[] divide(long burst, List<GrantedShare> holders) {
    double[] parts = new double[holders.size()];
    int[] order =
        IntStream.range(0, parts.length)
            .filter(i -> holders.get(i).hasCreditInTransit() || holders.get(i).hasMissingTokens())
            .boxed()
            .sorted(
                Comparator.comparing((Integer i) -> !holders.get(i).hasCreditInTransit())
                    .thenComparing(i -> holders.get(i).missingSince()))
            .mapToInt(Integer::intValue)
            .toArray();
    long remaining = burst;
    for (int i : order) {
      long needed = neededBurst(holders.get(i));
      if (needed <= remaining) {
        parts[i] = (double) needed;
        remaining -= needed;
      }
    }
    return parts;
  }

  /**
   * Returns the burst that the holder needs for its waiting request or for credit in transit, in
   * tokens.
   */
  private static long neededBurst(GrantedShare holder) {
    long held = holder.hasCreditInTransit() ? holder.share().burstTokens() : 0;
    return Math.max(held, holder.demand().missingTokens());
  }
}
