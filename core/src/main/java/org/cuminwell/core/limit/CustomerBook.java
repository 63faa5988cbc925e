package org.cuminwell.core.limit;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
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

  /** The part of what nobody wants now that is shared out for demand to come. */
  private static final double LEFT_OVER_SHARED = 0.75;

  /** How many of the largest requests an even part of the burst must hold to be shared out. */
  private static final double REQUESTS_OF_BURST = 2;

  private static final double SHRINK_BELOW = 0.8;
  private static final double ENOUGH = 0.9;

  private final CustomerId customer;
  private final TreeMap<HostId, Allotted> holders = new TreeMap<>();
  private final Map<HostId, Allotted> parked = new HashMap<>();
  private final TokenBucket pool;
  private long wholeRate;
  private long rate;
  private long burst;

  /** Receives each share that changes, with the number of the grant that will carry it. */
  interface Grants {

    /** Returns the number of the next grant to the holder, and notes that there is one to send. */
    long next(HostId holder, CustomerId customer);
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

  /** Returns what the holder has, which then counts until {@link #park} or {@link #remove}. */
  Allotted of(HostId holder) {
    Allotted again = parked.remove(holder);
    if (again != null) {
      holders.put(holder, again);
    }
    return holders.computeIfAbsent(holder, id -> new Allotted(customer));
  }

  /**
   * Lets the holder go on with a share that an earlier leader granted; nothing was set here yet.
   */
  void adopt(HostId holder, Share share, Instant poolFrom) {
    of(holder).adopt(share);
    fitPool(poolFrom);
  }

  /** Sets holders aside that certainly have nothing and want nothing, so that they cost no time. */
  void park() {
    holders
        .entrySet()
        .removeIf(
            entry -> {
              boolean empty = entry.getValue().isEmpty();
              if (empty) {
                parked.put(entry.getKey(), entry.getValue());
              }
              return empty;
            });
  }

  /** Returns what the holder has without making it count. */
  Optional<Allotted> find(HostId holder) {
    return Optional.ofNullable(holders.get(holder))
        .or(() -> Optional.ofNullable(parked.get(holder)));
  }

  /** Frees what the holder had, which must have let go of it. */
  void remove(HostId holder, Instant now) {
    holders.remove(holder);
    parked.remove(holder);
    fitPool(now);
  }

  /** Takes in tokens that a holder gave back. */
  void giveBack(long tokens, Instant now) {
    fitPool(now);
    pool.charge(-tokens, now);
  }

  /**
   * Brings each share towards its target. A share that its holder does not need shrinks only if
   * another needs it, so that small changes of demand move nothing; where requests are too large to
   * have a part of the burst each, shares last only as long as they are needed.
   */
  void divide(Grants grants, Instant now) {
    List<Map.Entry<HostId, Allotted>> all = new ArrayList<>(holders.entrySet());
    List<Allotted> allotted = List.copyOf(holders.values());
    boolean oneByOne = WholeRequests.areTooManyFor(burst, allotted);
    double[] rates = oneByOne ? new double[all.size()] : wantedRates(all);
    double[] bursts = oneByOne ? WholeRequests.divide(burst, allotted) : wantedBursts(all);
    boolean overRate = demand(all) > wholeRate && !(oneByOne && poolHoldsOneOf(allotted, now));
    shrink(all, rates, bursts, overRate, grants);
    Booked booked = new Booked(bookedRate(), bookedBurst());
    fitPool(booked, now);
    for (int i = 0; i < all.size(); i++) {
      Allotted holder = all.get(i).getValue();
      booked = booked.without(holder);
      Share before = holder.share();
      Share target =
          new Share(
              target(before.tokensPerSecond(), rates[i]), target(before.burstTokens(), bursts[i]));
      boolean set =
          oneByOne
              ? growByRequest(all.get(i), target, booked, grants, now)
              : grow(all.get(i), target, booked, grants, now);
      booked = booked.with(holder);
      if (set) {
        fitPool(booked, now);
      }
    }
  }

  /** Sums what may be in use of rate and burst. Immutable and thread safe. */
  private record Booked(long rate, long burst) {

    Booked with(Allotted holder) {
      return new Booked(rate + holder.bookedRate(), burst + holder.bookedBurst());
    }

    Booked without(Allotted holder) {
      return new Booked(rate - holder.bookedRate(), burst - holder.bookedBurst());
    }
  }

  private void shrink(
      List<Map.Entry<HostId, Allotted>> all,
      double[] rates,
      double[] bursts,
      boolean overRate,
      Grants grants) {
    boolean needsRate = isNeeded(all, rates, rate - bookedRate(), Share::tokensPerSecond);
    boolean needsBurst = isNeeded(all, bursts, burst - bookedBurst(), Share::burstTokens);
    for (int i = 0; i < all.size(); i++) {
      Allotted allotted = all.get(i).getValue();
      Share before = allotted.share();
      Share after =
          new Share(
              shrunk(before.tokensPerSecond(), rates[i], needsRate),
              shrunk(before.burstTokens(), bursts[i], needsBurst));
      if (!after.equals(before) || overRate != allotted.isOverRate()) {
        allotted.set(grants.next(all.get(i).getKey(), customer), after, 0, overRate);
      }
    }
  }

  /** Returns whether the pool holds the largest request of any holder. */
  private boolean poolHoldsOneOf(List<Allotted> all, Instant now) {
    long largest = all.stream().mapToLong(a -> a.demand().largestTokens()).max().orElse(0);
    return pool.level(now) >= (double) largest;
  }

  /** Returns whether those who have too little need more than is free. */
  private static boolean isNeeded(
      List<Map.Entry<HostId, Allotted>> all,
      double[] wanted,
      long free,
      ToLongFunction<Share> part) {
    double lacking = 0;
    for (int i = 0; i < wanted.length; i++) {
      double has = (double) part.applyAsLong(all.get(i).getValue().share());
      lacking += has < ENOUGH * wanted[i] ? wanted[i] - has : 0;
    }
    return lacking > (double) free;
  }

  private static long shrunk(long before, double wanted, boolean needed) {
    boolean tooMuch = wanted == 0 || (needed && wanted < SHRINK_BELOW * (double) before);
    return tooMuch ? Math.min(before, (long) wanted) : before;
  }

  private static long target(long before, double wanted) {
    return (double) before < ENOUGH * wanted ? (long) wanted : before;
  }

  /**
   * Lets a share grow as far as there is room, and returns whether it was set anew.
   *
   * @param others what all others may have in use
   */
  private boolean grow(
      Map.Entry<HostId, Allotted> holder, Share target, Booked others, Grants grants, Instant now) {
    Allotted allotted = holder.getValue();
    Share before = allotted.share();
    long freeRate = Math.max(0, rate - others.rate() - allotted.bookedRate());
    long freeBurst = Math.max(0, burst - others.burst() - allotted.bookedBurst());
    Share after =
        new Share(
            Math.min(target.tokensPerSecond(), before.tokensPerSecond() + freeRate),
            Math.min(target.burstTokens(), before.burstTokens() + freeBurst));
    long added = after.burstTokens() - before.burstTokens();
    long wanted = Math.max(added, Math.min(freeBurst, allotted.takeMissing()));
    long credit = Math.min(wanted, (long) Math.max(0, pool.level(now)));
    if (after.equals(before) && credit == 0) {
      return false;
    }
    set(holder, after, credit, grants, now);
    return true;
  }

  /**
   * Hands over all that the holder's waiting request lacks, or nothing yet, and returns whether it
   * did.
   */
  private boolean growByRequest(
      Map.Entry<HostId, Allotted> holder, Share target, Booked others, Grants grants, Instant now) {
    Allotted allotted = holder.getValue();
    if (allotted.isCreditUnderWay()) {
      // The holder may have asked before what is under way reached it; it asks again if it lacks
      // more.
      allotted.takeMissing();
      return false;
    }
    long freeBurst = burst - others.burst() - allotted.bookedBurst();
    long added = target.burstTokens() - allotted.share().burstTokens();
    long credit = allotted.demand().missingTokens();
    boolean hasRoom = target.burstTokens() > 0 && Math.max(added, credit) <= freeBurst;
    if (credit == 0 || !hasRoom || (double) credit > pool.level(now)) {
      return false;
    }
    set(holder, target, allotted.takeMissing(), grants, now);
    return true;
  }

  private void set(
      Map.Entry<HostId, Allotted> holder, Share share, long credit, Grants grants, Instant now) {
    Allotted allotted = holder.getValue();
    pool.charge(credit, now);
    allotted.set(grants.next(holder.getKey(), customer), share, credit, allotted.isOverRate());
  }

  private double[] wantedRates(List<Map.Entry<HostId, Allotted>> all) {
    double[] wanted =
        all.stream()
            .mapToDouble(e -> (double) e.getValue().demand().tokensPerSecond() * HEADROOM)
            .toArray();
    return withLeftOver((double) rate, MaxMin.divide((double) rate, wanted));
  }

  private double[] wantedBursts(List<Map.Entry<HostId, Allotted>> all) {
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
    double greatest = Arrays.stream(largest).max().orElse(0);
    boolean partsHoldRequests = (double) burst / first.length >= REQUESTS_OF_BURST * greatest;
    return partsHoldRequests ? withLeftOver((double) burst, first) : first;
  }

  /** Adds to each share an equal part of what nobody wants now, but for what stays in the pool. */
  private static double[] withLeftOver(double whole, double[] shares) {
    double left = Math.max(0, whole - Arrays.stream(shares).sum()) * LEFT_OVER_SHARED;
    return Arrays.stream(shares).map(share -> share + left / shares.length).toArray();
  }

  private static long demand(List<Map.Entry<HostId, Allotted>> all) {
    return all.stream().mapToLong(e -> e.getValue().demand().tokensPerSecond()).sum();
  }

  private void fitPool(Instant now) {
    fitPool(new Booked(bookedRate(), bookedBurst()), now);
  }

  private void fitPool(Booked booked, Instant now) {
    pool.change(
        (double) Math.max(0, rate - booked.rate()),
        (double) Math.max(0, burst - booked.burst()),
        now);
  }

  long bookedRate() {
    return holders.values().stream().mapToLong(Allotted::bookedRate).sum();
  }

  long bookedBurst() {
    return holders.values().stream().mapToLong(Allotted::bookedBurst).sum();
  }
}
