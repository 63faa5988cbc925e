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
final class LocalLimit {

  /** Demand within these multiples of what was reported is not reported anew. */
  private static final double REPORT_RISE_FACTOR = 1.25;

  private static final double REPORT_FALL_FACTOR = 0.5;

  /** A request of at most this part of the floor's burst needs no share. */
  private static final double MAX_FLOOR_REQUEST_FRACTION = 0.5;

  /** A share of fewer of the largest requests is for one of them. */
  private static final double MIN_REQUESTS_PER_SHARE = 2;

  private final DemandMeter meter;
  private Customer customer;
  private double floorFraction;
  private Share share = Share.NONE;
  private TokenBucket bucket;
  private long creditedTokens;
  private double returnedTokens;
  private double missingTokens;
  private boolean overRate;
  private Demand reportedDemand;
  private long changedInReport;
  private Instant missingReportedAt = Instant.EPOCH;

  /** Makes a limit whose floor has filled an empty bucket since {@code heldSince}. */
  LocalLimit(Customer customer, double floorFraction, Instant heldSince, Instant now) {
    this.customer = customer;
    this.floorFraction = floorFraction;
    meter = new DemandMeter(now);
    bucket = TokenBucket.empty(floorRate(), floorBurst(), heldSince);
    reportedDemand = new Demand(customer.id(), 0, 0, 0, 0);
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
  void recordRequest(long tokens) {
    meter.add((double) tokens);
    meter.recordRequestSize((double) tokens);
  }

  boolean tryConsume(long tokens, Instant now) {
    if (bucket.tryConsume(tokens, now)) {
      return true;
    }
    missingTokens = Math.max(missingTokens, (double) tokens - bucket.level(now));
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
  void configure(Customer newCustomer, double newFloorFraction, Instant now) {
    customer = newCustomer;
    floorFraction = newFloorFraction;
    resizeBucket(now);
  }

  /** Returns whether the share holds no more than one of the largest requests. */
  boolean isForSingleRequest() {
    return share.burstTokens() > 0
        && (double) share.burstTokens() < MIN_REQUESTS_PER_SHARE * meter.largestRequest();
  }

  /** Takes on a share, and the tokens that were handed over with it. */
  void applyAllotment(Allotment allotment, Instant now) {
    share = allotment.share();
    overRate = allotment.overRate();
    if (allotment.creditTokens() > creditedTokens && isForSingleRequest()) {
      // What still waits says so again when it is tried with the new tokens.
      missingTokens = 0;
    }
    returnedTokens += resizeBucket(now);
    bucket.charge(creditedTokens - allotment.creditTokens(), now);
    creditedTokens = Math.max(creditedTokens, allotment.creditTokens());
  }

  /**
   * Counts tokens that are handed over from none on, since another leader has taken the share on.
   */
  void resetCredit() {
    creditedTokens = 0;
  }

  /** Lets go of the share; what stays counts for a new session. */
  void dropShare(Instant at) {
    share = Share.NONE;
    resizeBucket(at);
    creditedTokens = 0;
    returnedTokens = 0;
    overRate = false;
    reportedDemand = new Demand(customer.id(), 0, 0, 0, 0);
    changedInReport = 0;
  }

  /** Notes in which report the present demand must stand, if it differs from the last one. */
  void updateReport(long nextSequence, Instant now) {
    meter.advanceTo(now);
    Demand current = currentDemand();
    boolean reportsMissing =
        current.missingTokens() > 0
            && !now.isBefore(missingReportedAt.plus(ShareLease.MISSING_TOKENS_PERIOD));
    if (reportsMissing || differsFromReported(current)) {
      reportedDemand = current;
      changedInReport = nextSequence;
      missingTokens = 0;
      missingReportedAt = reportsMissing ? now : missingReportedAt;
    }
  }

  /** Notes that the demand must stand in a report again, though it did not change. */
  void scheduleReport(long nextSequence) {
    changedInReport = nextSequence;
  }

  boolean mustReport(long answered) {
    return changedInReport > answered;
  }

  /** Returns whether there is no share and no wish for one. */
  boolean isIdle() {
    return share.equals(Share.NONE)
        && reportedDemand.tokensPerSecond() == 0
        && reportedDemand.largestTokens() == 0
        && missingTokens == 0;
  }

  Demand reportedDemand() {
    return reportedDemand;
  }

  private Demand currentDemand() {
    long rate = (long) Math.ceil(Math.max(0, meter.tokensPerSecond() - floorRate()));
    return new Demand(
        customer.id(),
        rate,
        meter.largestRequest() > floorBurst() * MAX_FLOOR_REQUEST_FRACTION
            ? (long) Math.ceil(meter.largestRequest())
            : 0,
        (long) Math.ceil(missingTokens),
        (long) Math.floor(returnedTokens));
  }

  private boolean differsFromReported(Demand current) {
    return current.returnedTokens() != reportedDemand.returnedTokens()
        || isFarFrom(current.tokensPerSecond(), reportedDemand.tokensPerSecond())
        || (double) current.largestTokens()
            > REPORT_RISE_FACTOR * (double) reportedDemand.largestTokens()
        || (current.largestTokens() == 0 && reportedDemand.largestTokens() > 0);
  }

  private static boolean isFarFrom(long current, long reported) {
    return (double) current > REPORT_RISE_FACTOR * (double) reported
        || (double) current < REPORT_FALL_FACTOR * (double) reported;
  }

  private double resizeBucket(Instant now) {
    return bucket.reconfigure(
        floorRate() + (double) share.tokensPerSecond(),
        floorBurst() + (double) share.burstTokens(),
        now);
  }

  private double floorRate() {
    return floorFraction * (double) customer.limit().tokensPerSecond();
  }

  private double floorBurst() {
    return floorFraction * (double) customer.limit().burstTokens();
  }
}
