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
final class WholeRequests {

  private WholeRequests() {}

  /** Returns whether {@code burst} can't hold one request of each holder, in tokens. */
  static boolean areTooManyFor(long burst, List<Allotted> holders) {
    return holders.stream().mapToLong(h -> h.demand().largestTokens()).sum() > burst;
  }

  /** Returns the part of {@code burst} that each holder should have, in tokens. */
  static double[] divide(long burst, List<Allotted> holders) {
    double[] parts = new double[holders.size()];
    int[] order =
        IntStream.range(0, parts.length)
            .filter(i -> holders.get(i).isCreditUnderWay() || holders.get(i).isMissing())
            .boxed()
            .sorted(
                Comparator.comparing((Integer i) -> !holders.get(i).isCreditUnderWay())
                    .thenComparing(i -> holders.get(i).missingSince()))
            .mapToInt(Integer::intValue)
            .toArray();
    long left = burst;
    for (int i : order) {
      long room = roomFor(holders.get(i));
      if (room <= left) {
        parts[i] = (double) room;
        left -= room;
      }
    }
    return parts;
  }

  private static long roomFor(Allotted holder) {
    long held = holder.isCreditUnderWay() ? holder.share().burstTokens() : 0;
    return Math.max(held, holder.demand().missingTokens());
  }
}
