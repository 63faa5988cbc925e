package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.model.Customer;

/**
 * Holds what one gateway has of one customer's limit: the floor, the share and the tokens there.
 *
 * <p>Invariant: the bucket's rate and burst are the sums of floor and share. Not thread safe: the
 * thread of its {@link ShareHolder} owns it.
 */
final class HeldLimit {

  /** Demand within these multiples of what was reported is not reported anew. */
  private static final double REPORTED_RISE = 1.25;

  private static final double REPORTED_FALL = 0.5;

  /** A request of at most this part of the floor's burst needs no share. */
  private static final double FLOOR_SUFFICES = 0.5;

  /** A share of fewer of the largest requests is for one of them. */
  private static final double ONE_REQUEST = 2;

  private final DemandMeter meter;
  private Customer customer;
  private double floorPart;
  private Share share = Share.NONE;
  private TokenBucket bucket;
  private long credited;
  private double returned;
  private double missing;
  private boolean overRate;
  private Demand reported;
  private long changedAt;
  private Instant askedAt = Instant.EPOCH;

  /** Makes a limit whose floor has filled an empty bucket since {@code heldSince}. */
  HeldLimit(Customer customer, double floorPart, Instant heldSince, Instant now) {
    this.customer = customer;
    this.floorPart = floorPart;
    meter = new DemandMeter(now);
    bucket = TokenBucket.empty(floorRate(), floorBurst(), heldSince);
    reported = new Demand(customer.id(), 0, 0, 0, 0);
  }

  Customer customer() {
    return customer;
  }

  Share share() {
    return share;
  }

  boolean isOverRate() {
    return overRate;
  }

  /** Counts a request as demand. */
  void ask(long tokens) {
    meter.add((double) tokens);
    meter.sized((double) tokens);
  }

  boolean tryTake(long tokens, Instant now) {
    if (bucket.tryConsume(tokens, now)) {
      return true;
    }
    missing = Math.max(missing, (double) tokens - bucket.level(now));
    return false;
  }

  void charge(long tokens, Instant now) {
    meter.add((double) tokens);
    bucket.charge(tokens, now);
  }

  Duration timeUntil(long tokens, Instant now) {
    return bucket.timeUntil(tokens, now);
  }

  double level(Instant now) {
    return bucket.level(now);
  }

  /** Takes on a new limit or floor. */
  void configure(Customer newCustomer, double newFloorPart, Instant now) {
    customer = newCustomer;
    floorPart = newFloorPart;
    fit(now);
  }

  /** Returns whether the share holds no more than one of the largest requests. */
  boolean isForOneRequest() {
    return share.burstTokens() > 0 && (double) share.burstTokens() < ONE_REQUEST * meter.largest();
  }

  /** Takes on a share, and the tokens that were handed over with it. */
  void allot(Allotment allotment, Instant now) {
    share = allotment.share();
    overRate = allotment.overRate();
    if (allotment.creditTokens() > credited && isForOneRequest()) {
      // What still waits says so again when it is tried with the new tokens.
      missing = 0;
    }
    returned += fit(now);
    bucket.charge(credited - allotment.creditTokens(), now);
    credited = Math.max(credited, allotment.creditTokens());
  }

  /**
   * Counts tokens that are handed over from none on, since another leader has taken the share on.
   */
  void adopted() {
    credited = 0;
  }

  /** Lets go of the share; what stays counts for a new session. */
  void letGo(Instant at) {
    share = Share.NONE;
    fit(at);
    credited = 0;
    returned = 0;
    overRate = false;
    reported = new Demand(customer.id(), 0, 0, 0, 0);
    changedAt = 0;
  }

  /** Notes in which report the present demand must stand, if it differs from the last one. */
  void measure(long nextSequence, Instant now) {
    meter.roll(now);
    Demand present = demand();
    boolean wants =
        present.missingTokens() > 0 && !now.isBefore(askedAt.plus(ShareLease.ASK_AGAIN));
    if (wants || differs(present)) {
      reported = present;
      changedAt = nextSequence;
      missing = 0;
      askedAt = wants ? now : askedAt;
    }
  }

  /** Notes that the demand must stand in a report again, though it did not change. */
  void reportAgain(long nextSequence) {
    changedAt = nextSequence;
  }

  boolean isReportedAfter(long answered) {
    return changedAt > answered;
  }

  /** Returns whether there is no share and no wish for one. */
  boolean isIdle() {
    return share.equals(Share.NONE)
        && reported.tokensPerSecond() == 0
        && reported.largestTokens() == 0
        && missing == 0;
  }

  Demand reported() {
    return reported;
  }

  private Demand demand() {
    long rate = (long) Math.ceil(Math.max(0, meter.tokensPerSecond() - floorRate()));
    return new Demand(
        customer.id(),
        rate,
        meter.largest() > floorBurst() * FLOOR_SUFFICES ? (long) Math.ceil(meter.largest()) : 0,
        (long) Math.ceil(missing),
        (long) Math.floor(returned));
  }

  private boolean differs(Demand present) {
    return present.returnedTokens() != reported.returnedTokens()
        || isFar(present.tokensPerSecond(), reported.tokensPerSecond())
        || (double) present.largestTokens() > REPORTED_RISE * (double) reported.largestTokens()
        || (present.largestTokens() == 0 && reported.largestTokens() > 0);
  }

  private static boolean isFar(long present, long before) {
    return (double) present > REPORTED_RISE * (double) before
        || (double) present < REPORTED_FALL * (double) before;
  }

  private double fit(Instant now) {
    return bucket.change(
        floorRate() + (double) share.tokensPerSecond(),
        floorBurst() + (double) share.burstTokens(),
        now);
  }

  private double floorRate() {
    return floorPart * (double) customer.limit().tokensPerSecond();
  }

  private double floorBurst() {
    return floorPart * (double) customer.limit().burstTokens();
  }
}
