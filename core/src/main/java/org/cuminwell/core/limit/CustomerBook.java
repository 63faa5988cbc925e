package org.cuminwell.core.limit;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.TokenLimit;

/**
 * Divides the movable part of one customer's limit among the gateways that want it.
 *
 * <p>What is not allotted fills a pool here, which is handed over with shares that grow. Invariant:
 * no share grows beyond what is certainly not in use elsewhere, and pool, levels and tokens under
 * way sum to no more than the movable burst. Not thread safe: the thread of its {@link
 * ShareGranter} owns it.
 */
final class CustomerBook {

  private static final double HEADROOM = 1.3;
  private static final double SECONDS_OF_BURST = 3;
  private static final double SPREAD_OF_REST = 0.5;
  private static final double SHRINK_BELOW = 0.8;
  private static final double GROW_ABOVE = 1.1;

  private final CustomerId customer;
  private final TreeMap<HostId, Allotted> holders = new TreeMap<>();
  private final TokenBucket pool;
  private long wholeRate;
  private long rate;
  private long burst;

  /** Receives each share that changes, with the number of the grant that will carry it. */
  interface Grants {

    /** Returns the number of the next grant to the holder, and notes that there is one to send. */
    long next(HostId holder);
  }

  /** Makes a book whose pool is empty at {@code now}. */
  CustomerBook(CustomerId customer, TokenLimit limit, Instant now) {
    this.customer = customer;
    pool = TokenBucket.empty(0, 0, now);
    limit(Optional.of(limit));
    pool.change((double) rate, (double) burst, now);
  }

  /** Takes on a new limit, or none if the customer is gone; {@link #divide} puts it in force. */
  void limit(Optional<TokenLimit> limit) {
    wholeRate = limit.map(TokenLimit::tokensPerSecond).orElse(0L);
    rate = Floors.movable(wholeRate);
    burst = Floors.movable(limit.map(TokenLimit::burstTokens).orElse(0L));
  }

  Allotted of(HostId holder) {
    return holders.computeIfAbsent(holder, id -> new Allotted(customer));
  }

  /** Frees what the holder had, which must have let go of it. */
  void remove(HostId holder, Instant now) {
    holders.remove(holder);
    fitPool(now);
  }

  /** Takes in tokens that a holder gave back. */
  void giveBack(long tokens, Instant now) {
    fitPool(now);
    pool.charge(-tokens, now);
  }

  Map<HostId, Allotted> holders() {
    return holders;
  }

  /** Brings each share towards its target. */
  void divide(Grants grants, Instant now) {
    List<Map.Entry<HostId, Allotted>> all = new ArrayList<>(holders.entrySet());
    double[] rates = targetRates(all);
    double[] bursts = targetBursts(all);
    boolean overRate = demand(all) > wholeRate;
    for (int i = 0; i < all.size(); i++) {
      Allotted allotted = all.get(i).getValue();
      Share before = allotted.share();
      Share after =
          new Share(
              shrunk(before.tokensPerSecond(), rates[i]), shrunk(before.burstTokens(), bursts[i]));
      if (!after.equals(before) || overRate != allotted.isOverRate()) {
        allotted.set(grants.next(all.get(i).getKey()), after, 0, overRate);
      }
    }
    fitPool(now);
    for (int i = 0; i < all.size(); i++) {
      grow(all.get(i), rates[i], bursts[i], grants, now);
    }
  }

  private void grow(
      Map.Entry<HostId, Allotted> holder,
      double targetRate,
      double targetBurst,
      Grants grants,
      Instant now) {
    Allotted allotted = holder.getValue();
    Share before = allotted.share();
    long freeBurst = Math.max(0, burst - bookedBurst());
    Share after =
        new Share(
            grown(before.tokensPerSecond(), targetRate, Math.max(0, rate - bookedRate())),
            grown(before.burstTokens(), targetBurst, freeBurst));
    long added = after.burstTokens() - before.burstTokens();
    long wanted = Math.max(added, Math.min(freeBurst, allotted.takeMissing()));
    long credit = Math.min(wanted, (long) Math.max(0, pool.level(now)));
    if (!after.equals(before) || credit > 0) {
      pool.charge(credit, now);
      allotted.set(grants.next(holder.getKey()), after, credit, allotted.isOverRate());
      fitPool(now);
    }
  }

  private static long shrunk(long before, double target) {
    return target < SHRINK_BELOW * (double) before ? (long) target : before;
  }

  private static long grown(long before, double target, long free) {
    return target > GROW_ABOVE * (double) before ? Math.min((long) target, before + free) : before;
  }

  private double[] targetRates(List<Map.Entry<HostId, Allotted>> all) {
    double[] wanted =
        all.stream()
            .mapToDouble(e -> (double) e.getValue().demand().tokensPerSecond() * HEADROOM)
            .toArray();
    return withRest((double) rate, MaxMin.divide((double) rate, wanted));
  }

  private double[] targetBursts(List<Map.Entry<HostId, Allotted>> all) {
    double[] largest =
        all.stream().mapToDouble(e -> (double) e.getValue().demand().largestTokens()).toArray();
    double[] first = MaxMin.divide((double) burst, largest);
    double left = (double) burst;
    double[] more = new double[first.length];
    for (int i = 0; i < first.length; i++) {
      left -= first[i];
      more[i] =
          largest[i] + (double) all.get(i).getValue().demand().tokensPerSecond() * SECONDS_OF_BURST;
    }
    double[] second = MaxMin.divide(left, more);
    for (int i = 0; i < first.length; i++) {
      first[i] += second[i];
    }
    return withRest((double) burst, first);
  }

  /** Spreads a part of what nobody asked for in proportion to what each gets. */
  private static double[] withRest(double amount, double[] targets) {
    double sum = 0;
    for (double target : targets) {
      sum += target;
    }
    if (sum == 0) {
      return targets;
    }
    double factor = 1 + SPREAD_OF_REST * Math.max(0, amount - sum) / sum;
    for (int i = 0; i < targets.length; i++) {
      targets[i] *= factor;
    }
    return targets;
  }

  private static long demand(List<Map.Entry<HostId, Allotted>> all) {
    return all.stream().mapToLong(e -> e.getValue().demand().tokensPerSecond()).sum();
  }

  private void fitPool(Instant now) {
    pool.change(
        (double) Math.max(0, rate - bookedRate()),
        (double) Math.max(0, burst - bookedBurst()),
        now);
  }

  long bookedRate() {
    return holders.values().stream().mapToLong(Allotted::bookedRate).sum();
  }

  long bookedBurst() {
    return holders.values().stream().mapToLong(Allotted::bookedBurst).sum();
  }
}
