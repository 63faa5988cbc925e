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
final class LimitAllocator {

  private static final double DEMAND_HEADROOM = 1.3;
  private static final double BURST_SECONDS = 3;

  /** The part of what nobody wants now that is shared out for demand to come. */
  private static final double UNCLAIMED_FRACTION_SHARED = 0.75;

  /** How many of the largest requests an even part of the burst must hold to be shared out. */
  private static final double MIN_REQUESTS_PER_PART = 2;

  private static final double SHRINK_FRACTION = 0.8;
  private static final double SUFFICIENT_FRACTION = 0.9;

  private final CustomerId customer;
  private final TreeMap<HostId, GrantedShare> activeHolders = new TreeMap<>();
  private final Map<HostId, GrantedShare> inactiveHolders = new HashMap<>();
  private final TokenBucket pool;
  private long limitRate;
  private long grantableRate;
  private long grantableBurst;

  /** Receives each share that changes, with the number of the grant that will carry it. */
  interface GrantScheduler {

    /** Returns the number of the next grant to the holder, and notes that there is one to send. */
    long scheduleGrant(HostId holder, CustomerId customer);
  }

  /** Makes a book whose pool is empty at {@code now}. */
  LimitAllocator(CustomerId customer, TokenLimit limit, Instant now) {
    this.customer = customer;
    pool = TokenBucket.empty(0, 0, now);
    updateLimit(Optional.of(limit));
    pool.reconfigure((double) grantableRate, (double) grantableBurst, now);
  }

  /** Takes on a new limit, or none if the customer is gone; {@link #divide} puts it in force. */
  void updateLimit(Optional<TokenLimit> limit) {
    limitRate = limit.map(TokenLimit::tokensPerSecond).orElse(0L);
    grantableRate = Floors.grantable(limitRate);
    grantableBurst = Floors.grantable(limit.map(TokenLimit::burstTokens).orElse(0L));
  }

  /**
   * Returns what the holder has, which then counts until {@link #deactivateIdle} or {@link
   * #remove}.
   */
  GrantedShare activate(HostId holder) {
    GrantedShare inactive = inactiveHolders.remove(holder);
    if (inactive != null) {
      activeHolders.put(holder, inactive);
    }
    return activeHolders.computeIfAbsent(holder, id -> new GrantedShare(customer));
  }

  /**
   * Lets the holder go on with a share that an earlier leader granted; nothing was set here yet.
   */
  void adopt(HostId holder, Share share, Instant grantsFrom) {
    activate(holder).adopt(share);
    resizePool(grantsFrom);
  }

  /** Sets holders aside that certainly have nothing and want nothing, so that they cost no time. */
  void deactivateIdle() {
    activeHolders
        .entrySet()
        .removeIf(
            entry -> {
              boolean empty = entry.getValue().isEmpty();
              if (empty) {
                inactiveHolders.put(entry.getKey(), entry.getValue());
              }
              return empty;
            });
  }

  /** Returns what the holder has without making it count. */
  Optional<GrantedShare> find(HostId holder) {
    return Optional.ofNullable(activeHolders.get(holder))
        .or(() -> Optional.ofNullable(inactiveHolders.get(holder)));
  }

  /** Frees what the holder had, which must have let go of it. */
  void remove(HostId holder, Instant now) {
    activeHolders.remove(holder);
    inactiveHolders.remove(holder);
    resizePool(now);
  }

  /** Takes in tokens that a holder gave back. */
  void returnTokens(long tokens, Instant now) {
    resizePool(now);
    pool.charge(-tokens, now);
  }

  /**
   * Brings each share towards its target. A share that its holder does not need shrinks only if
   * another needs it, so that small changes of demand move nothing; where requests are too large to
   * have a part of the burst each, shares last only as long as they are needed.
   */
  void divide(GrantScheduler scheduler, Instant now) {
    List<Map.Entry<HostId, GrantedShare>> entries = new ArrayList<>(activeHolders.entrySet());
    List<GrantedShare> shares = List.copyOf(activeHolders.values());
    boolean bySingleRequest = SingleRequestAllocator.exceedBurst(grantableBurst, shares);
    double[] rates = bySingleRequest ? new double[entries.size()] : wantedRates(entries);
    double[] bursts =
        bySingleRequest
            ? SingleRequestAllocator.divide(grantableBurst, shares)
            : wantedBursts(entries);
    boolean overRate =
        totalDemand(entries) > limitRate
            && !(bySingleRequest && poolHoldsLargestRequest(shares, now));
    shrink(entries, rates, bursts, overRate, scheduler);
    Reserved reserved = new Reserved(reservedRate(), reservedBurst());
    resizePool(reserved, now);
    for (int i = 0; i < entries.size(); i++) {
      GrantedShare holder = entries.get(i).getValue();
      reserved = reserved.without(holder);
      Share before = holder.share();
      Share target =
          new Share(
              target(before.tokensPerSecond(), rates[i]), target(before.burstTokens(), bursts[i]));
      boolean granted =
          bySingleRequest
              ? growForWaitingRequest(entries.get(i), target, reserved, scheduler, now)
              : grow(entries.get(i), target, reserved, scheduler, now);
      reserved = reserved.with(holder);
      if (granted) {
        resizePool(reserved, now);
      }
    }
  }

  /** Sums what may be in use of rate and burst. Immutable and thread safe. */
  private record Reserved(long rate, long burst) {

    Reserved with(GrantedShare holder) {
      return new Reserved(rate + holder.reservedRate(), burst + holder.reservedBurst());
    }

    Reserved without(GrantedShare holder) {
      return new Reserved(rate - holder.reservedRate(), burst - holder.reservedBurst());
    }
  }

  private void shrink(
      List<Map.Entry<HostId, GrantedShare>> entries,
      double[] rates,
      double[] bursts,
      boolean overRate,
      GrantScheduler scheduler) {
    boolean rateShortage =
        hasShortage(entries, rates, grantableRate - reservedRate(), Share::tokensPerSecond);
    boolean burstShortage =
        hasShortage(entries, bursts, grantableBurst - reservedBurst(), Share::burstTokens);
    for (int i = 0; i < entries.size(); i++) {
      GrantedShare grantedShare = entries.get(i).getValue();
      Share before = grantedShare.share();
      Share after =
          new Share(
              shrunk(before.tokensPerSecond(), rates[i], rateShortage),
              shrunk(before.burstTokens(), bursts[i], burstShortage));
      if (!after.equals(before) || overRate != grantedShare.isOverRate()) {
        grantedShare.recordGrant(
            scheduler.scheduleGrant(entries.get(i).getKey(), customer), after, 0, overRate);
      }
    }
  }

  /** Returns whether the pool holds the largest request of any holder. */
  private boolean poolHoldsLargestRequest(List<GrantedShare> shares, Instant now) {
    long largest = shares.stream().mapToLong(a -> a.demand().largestTokens()).max().orElse(0);
    return pool.level(now) >= (double) largest;
  }

  /** Returns whether those who have too little need more than is free. */
  private static boolean hasShortage(
      List<Map.Entry<HostId, GrantedShare>> entries,
      double[] wanted,
      long free,
      ToLongFunction<Share> quantity) {
    double lacking = 0;
    for (int i = 0; i < wanted.length; i++) {
      double current = (double) quantity.applyAsLong(entries.get(i).getValue().share());
      lacking += current < SUFFICIENT_FRACTION * wanted[i] ? wanted[i] - current : 0;
    }
    return lacking > (double) free;
  }

  private static long shrunk(long current, double wanted, boolean shortage) {
    boolean tooMuch = wanted == 0 || (shortage && wanted < SHRINK_FRACTION * (double) current);
    return tooMuch ? Math.min(current, (long) wanted) : current;
  }

  private static long target(long current, double wanted) {
    return (double) current < SUFFICIENT_FRACTION * wanted ? (long) wanted : current;
  }

  /**
   * Lets a share grow as far as there is room, and returns whether it was set anew.
   *
   * @param reservedByOthers what all others may have in use
   */
  private boolean grow(
      Map.Entry<HostId, GrantedShare> holder,
      Share target,
      Reserved reservedByOthers,
      GrantScheduler scheduler,
      Instant now) {
    GrantedShare grantedShare = holder.getValue();
    Share before = grantedShare.share();
    long freeRate =
        Math.max(0, grantableRate - reservedByOthers.rate() - grantedShare.reservedRate());
    long freeBurst =
        Math.max(0, grantableBurst - reservedByOthers.burst() - grantedShare.reservedBurst());
    Share after =
        new Share(
            Math.min(target.tokensPerSecond(), before.tokensPerSecond() + freeRate),
            Math.min(target.burstTokens(), before.burstTokens() + freeBurst));
    long added = after.burstTokens() - before.burstTokens();
    long wanted = Math.max(added, Math.min(freeBurst, grantedShare.clearMissingTokens()));
    long credit = Math.min(wanted, (long) Math.max(0, pool.level(now)));
    if (after.equals(before) && credit == 0) {
      return false;
    }
    grant(holder, after, credit, scheduler, now);
    return true;
  }

  /**
   * Hands over all that the holder's waiting request lacks, or nothing yet, and returns whether it
   * did.
   */
  private boolean growForWaitingRequest(
      Map.Entry<HostId, GrantedShare> holder,
      Share target,
      Reserved reservedByOthers,
      GrantScheduler scheduler,
      Instant now) {
    GrantedShare grantedShare = holder.getValue();
    if (grantedShare.hasCreditInTransit()) {
      // The holder may have asked before what is under way reached it; it asks again if it lacks
      // more.
      grantedShare.clearMissingTokens();
      return false;
    }
    long freeBurst = grantableBurst - reservedByOthers.burst() - grantedShare.reservedBurst();
    long added = target.burstTokens() - grantedShare.share().burstTokens();
    long credit = grantedShare.demand().missingTokens();
    boolean isBurstFree = target.burstTokens() > 0 && Math.max(added, credit) <= freeBurst;
    if (credit == 0 || !isBurstFree || (double) credit > pool.level(now)) {
      return false;
    }
    grant(holder, target, grantedShare.clearMissingTokens(), scheduler, now);
    return true;
  }

  private void grant(
      Map.Entry<HostId, GrantedShare> holder,
      Share share,
      long credit,
      GrantScheduler scheduler,
      Instant now) {
    GrantedShare grantedShare = holder.getValue();
    pool.charge(credit, now);
    grantedShare.recordGrant(
        scheduler.scheduleGrant(holder.getKey(), customer),
        share,
        credit,
        grantedShare.isOverRate());
  }

  private double[] wantedRates(List<Map.Entry<HostId, GrantedShare>> entries) {
    double[] wanted =
        entries.stream()
            .mapToDouble(e -> (double) e.getValue().demand().tokensPerSecond() * DEMAND_HEADROOM)
            .toArray();
    return withUnclaimed(
        (double) grantableRate, MaxMinFairness.divide((double) grantableRate, wanted));
  }

  private double[] wantedBursts(List<Map.Entry<HostId, GrantedShare>> entries) {
    double[] largestRequests =
        entries.stream().mapToDouble(e -> (double) e.getValue().demand().largestTokens()).toArray();
    double[] parts = MaxMinFairness.divide((double) grantableBurst, largestRequests);
    double remaining = (double) grantableBurst;
    double[] furtherDemands = new double[parts.length];
    for (int i = 0; i < parts.length; i++) {
      remaining -= parts[i];
      furtherDemands[i] =
          largestRequests[i]
              + (double) entries.get(i).getValue().demand().tokensPerSecond() * BURST_SECONDS;
    }
    double[] furtherParts = MaxMinFairness.divide(remaining, furtherDemands);
    for (int i = 0; i < parts.length; i++) {
      parts[i] += furtherParts[i];
    }
    double largestRequest = Arrays.stream(largestRequests).max().orElse(0);
    boolean partsHoldRequests =
        (double) grantableBurst / parts.length >= MIN_REQUESTS_PER_PART * largestRequest;
    return partsHoldRequests ? withUnclaimed((double) grantableBurst, parts) : parts;
  }

  /** Adds to each share an equal part of what nobody wants now, but for what stays in the pool. */
  private static double[] withUnclaimed(double total, double[] shares) {
    double unclaimed = Math.max(0, total - Arrays.stream(shares).sum()) * UNCLAIMED_FRACTION_SHARED;
    return Arrays.stream(shares).map(share -> share + unclaimed / shares.length).toArray();
  }

  private static long totalDemand(List<Map.Entry<HostId, GrantedShare>> entries) {
    return entries.stream().mapToLong(e -> e.getValue().demand().tokensPerSecond()).sum();
  }

  private void resizePool(Instant now) {
    resizePool(new Reserved(reservedRate(), reservedBurst()), now);
  }

  private void resizePool(Reserved reserved, Instant now) {
    pool.reconfigure(
        (double) Math.max(0, grantableRate - reserved.rate()),
        (double) Math.max(0, grantableBurst - reserved.burst()),
        now);
  }

  long reservedRate() {
    return activeHolders.values().stream().mapToLong(GrantedShare::reservedRate).sum();
  }

  long reservedBurst() {
    return activeHolders.values().stream().mapToLong(GrantedShare::reservedBurst).sum();
  }
}
