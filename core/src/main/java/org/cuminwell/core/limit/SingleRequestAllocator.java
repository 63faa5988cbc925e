package org.cuminwell.core.limit;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Divides a burst that can't hold one request of every gateway that sends any.
 *
 * <p>Equal parts would each be smaller than a request, so that none could run. So those whose
 * requests wait get room for one each, in the order in which they asked, until they have taken what
 * was handed over; all others get none. Stateless and thread safe.
 */
final class SingleRequestAllocator {

  private SingleRequestAllocator() {}

  /** Returns whether {@code burst} can't hold one request of each holder, in tokens. */
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

  private static long neededBurst(GrantedShare holder) {
    long held = holder.hasCreditInTransit() ? holder.share().burstTokens() : 0;
    return Math.max(held, holder.demand().missingTokens());
  }
}
