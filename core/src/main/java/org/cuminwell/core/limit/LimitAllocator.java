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
 * Divides the grantable part of one customer's limit among the gateways that want it.
 *
 * <p>The part that is not granted fills a token pool, which is handed out as credit with shares
 * that grow. Invariants: no share grows beyond what is certainly not in use elsewhere; pool, token
 * levels and credit in transit sum to at most the grantable burst. Not thread safe: the thread of
 * its {@link ShareGranter} owns it.
 */
final class LimitAllocator {

  /** Ratio of the rate that a holder should have to the rate it demands. */
  private static final double DEMAND_HEADROOM = 1.3;

  /** How many seconds of a holder's demand its burst should cover beyond its largest request. */
  private static final double BURST_SECONDS = 3;

  /**
   * Fraction of the unclaimed rate and burst that is divided among the holders for future demand.
   */
  private static final double UNCLAIMED_FRACTION_SHARED = 0.75;

  /**
   * Unclaimed burst is divided only if an even part of the burst holds this many largest requests.
   */
  private static final double MIN_REQUESTS_PER_PART = 2;

  /** A share shrinks only if its holder wants less than this fraction of it. */
  private static final double SHRINK_FRACTION = 0.8;

  /** A share grows only if it is below this fraction of what its holder should have. */
  private static final double SUFFICIENT_FRACTION = 0.9;

  private final CustomerId customer;
  private final TreeMap<HostId, GrantedShare> activeHolders = new TreeMap<>();
  private final Map<HostId, GrantedShare> inactiveHolders = new HashMap<>();
  private final TokenBucket pool;
  private long limitRate;
  private long grantableRate;
  private long grantableBurst;
  private long returnedTokens;

  /** Schedules grants for shares that change. */
  interface GrantScheduler {

    /** Schedules a grant to the holder, and returns the number that the grant will have. */
    long scheduleGrant(HostId holder, CustomerId customer);
  }

  /** Creates an allocator whose pool is empty at {@code now} and fills at the grantable rate. */
  LimitAllocator(CustomerId customer, TokenLimit limit, Instant now) {
    this.customer = customer;
    pool = TokenBucket.empty(0, 0, now);
    updateLimit(Optional.of(limit));
    pool.reconfigure((double) grantableRate, (double) grantableBurst, now);
  }

  /** Sets a new limit, or none if the customer was removed; {@link #divide} then applies it. */
  void updateLimit(Optional<TokenLimit> limit) {
    limitRate = limit.map(TokenLimit::tokensPerSecond).orElse(0L);
    grantableRate = Floors.grantable(limitRate);
    grantableBurst = Floors.grantable(limit.map(TokenLimit::burstTokens).orElse(0L));
  }

  /**
   * Returns the share of the holder, which takes part in {@link #divide} from now on, until it is
   * deactivated or removed.
   */
  GrantedShare activate(HostId holder) {
    GrantedShare inactive = inactiveHolders.remove(holder);
    if (inactive != null) {
      activeHolders.put(holder, inactive);
    }
    return activeHolders.computeIfAbsent(holder, id -> new GrantedShare(customer));
  }

  /**
   * Starts the holder with a share that an earlier leader granted. Must precede every grant of this
   * leader.
   *
   * @param grantsFrom when this leader may begin to grant
   */
  void adopt(HostId holder, Share share, Instant grantsFrom) {
    activate(holder).adopt(share);
    resizePool(grantsFrom);
  }

  /**
   * Excludes holders that certainly have no share and want none from {@link #divide}, to save time.
   */
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

  /** Returns the share of the holder, if there is one, whether the holder is active or not. */
  Optional<GrantedShare> find(HostId holder) {
    return Optional.ofNullable(activeHolders.get(holder))
        .or(() -> Optional.ofNullable(inactiveHolders.get(holder)));
  }

  /** Frees the share of the holder, which must no longer use it. */
  void remove(HostId holder, Instant now) {
    activeHolders.remove(holder);
    inactiveHolders.remove(holder);
    resizePool(now);
  }

  /** Records tokens that a holder returned; {@link #divide} adds them to the pool. */
  void returnTokens(long tokens) {
    returnedTokens += tokens;
  }

  /**
   * Moves each share towards its target and schedules the grants for shares that change.
   *
   * <p>A share that its holder does not need shrinks only if another holder needs it, so that small
   * changes of demand move nothing. If the burst cannot hold one request of each holder, shares are
   * granted for single requests and last only until these are admitted.
   */
  void divide(GrantScheduler scheduler, Instant now) {
    resizePool(now);
    pool.charge(-returnedTokens, now);
    returnedTokens = 0;
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

  /** Sums the rate and burst that holders may be using. Immutable and thread safe. */
  private record Reserved(long rate, long burst) {

    Reserved with(GrantedShare holder) {
      return new Reserved(rate + holder.reservedRate(), burst + holder.reservedBurst());
    }

    Reserved without(GrantedShare holder) {
      return new Reserved(rate - holder.reservedRate(), burst - holder.reservedBurst());
    }
  }

  /**
   * Lowers shares to their targets where another holder needs the difference, and updates the
   * over-rate flags.
   */
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

  /** Returns whether the pool holds enough tokens for the largest request of any holder. */
  private boolean poolHoldsLargestRequest(List<GrantedShare> shares, Instant now) {
    long largest = shares.stream().mapToLong(a -> a.demand().largestTokens()).max().orElse(0);
    return pool.level(now) >= (double) largest;
  }

  /** Returns whether the holders with too small shares lack more than is free. */
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

  /**
   * Returns the lowered value if it is not wanted at all, or if others need it and much of it is
   * unused; else the current value.
   */
  private static long shrunk(long current, double wanted, boolean shortage) {
    boolean tooMuch = wanted == 0 || (shortage && wanted < SHRINK_FRACTION * (double) current);
    return tooMuch ? Math.min(current, (long) wanted) : current;
  }

  /** Returns the wanted value if the current one is clearly below it; else the current value. */
  private static long target(long current, double wanted) {
    return (double) current < SUFFICIENT_FRACTION * wanted ? (long) wanted : current;
  }

  /**
   * Raises a share towards its target as far as rate and burst are free, and returns whether it
   * granted anything.
   *
   * @param reservedByOthers the rate and burst that all other holders may be using
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
   * Credits all tokens that the holder's waiting request lacks, or none if they are not yet
   * available, and returns whether it granted anything.
   *
   * @param reservedByOthers the rate and burst that all other holders may be using
   */
  private boolean growForWaitingRequest(
      Map.Entry<HostId, GrantedShare> holder,
      Share target,
      Reserved reservedByOthers,
      GrantScheduler scheduler,
      Instant now) {
    GrantedShare grantedShare = holder.getValue();
    if (grantedShare.hasCreditInTransit()) {
      // The holder may have sent its demand before the credit in transit reached it. If it still
      // lacks tokens then, it reports so again.
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

  /** Takes the credit from the pool and records the new share with the next grant. */
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

  /** Returns the rate that each holder should have, in tokens per second. */
  private double[] wantedRates(List<Map.Entry<HostId, GrantedShare>> entries) {
    double[] wanted =
        entries.stream()
            .mapToDouble(e -> (double) e.getValue().demand().tokensPerSecond() * DEMAND_HEADROOM)
            .toArray();
    return withUnclaimed(
        (double) grantableRate, MaxMinFairness.divide((double) grantableRate, wanted));
  }

  /**
   * Returns the burst that each holder should have, in tokens: enough for its largest request
   * first, then a part of the rest by its demand.
   */
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

  /**
   * Adds to each share an equal part of the unclaimed amount, except for the part that stays in the
   * pool.
   */
  private static double[] withUnclaimed(double total, double[] shares) {
    double unclaimed = Math.max(0, total - Arrays.stream(shares).sum()) * UNCLAIMED_FRACTION_SHARED;
    return Arrays.stream(shares).map(share -> share + unclaimed / shares.length).toArray();
  }

  /** Returns the sum of the demanded rates, in tokens per second. */
  private static long totalDemand(List<Map.Entry<HostId, GrantedShare>> entries) {
    return entries.stream().mapToLong(e -> e.getValue().demand().tokensPerSecond()).sum();
  }

  /** Sets the pool's rate and burst to the parts that no active holder may be using. */
  private void resizePool(Instant now) {
    resizePool(new Reserved(reservedRate(), reservedBurst()), now);
  }

  private void resizePool(Reserved reserved, Instant now) {
    pool.reconfigure(
        (double) Math.max(0, grantableRate - reserved.rate()),
        (double) Math.max(0, grantableBurst - reserved.burst()),
        now);
  }

  /** Returns the sum of the rates that active holders may be using, in tokens per second. */
  long reservedRate() {
    return activeHolders.values().stream().mapToLong(GrantedShare::reservedRate).sum();
  }

  /**
   * Returns the sum of the bursts that active holders may have available or in transit, in tokens.
   */
  long reservedBurst() {
    return activeHolders.values().stream().mapToLong(GrantedShare::reservedBurst).sum();
  }
}
