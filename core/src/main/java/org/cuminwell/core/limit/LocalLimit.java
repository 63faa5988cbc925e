package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.model.Customer;

/**
 * Tracks one gateway's part of one customer's limit: floor, share, available tokens and demand.
 *
 * <p>Invariant: the bucket's rate and burst are the sums of floor and share. Not thread safe: the
 * thread of its {@link ShareHolder} owns it.
 */
final class LocalLimit {

  /** Demand is reported again once it exceeds this multiple of the reported demand. */
  private static final double REPORT_RISE_FACTOR = 1.25;

  /** Demand is reported again once it falls below this multiple of the reported demand. */
  private static final double REPORT_FALL_FACTOR = 0.5;

  /** Requests of at most this fraction of the floor's burst need no share. */
  private static final double MAX_FLOOR_REQUEST_FRACTION = 0.5;

  /** A share whose burst holds fewer than this many largest requests serves a single request. */
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

  /** Sequence of the first report that contains {@link #reportedDemand}. */
  private long changedInReport;

  private Instant missingReportedAt = Instant.EPOCH;

  /**
   * Creates a limit without a share, whose floor has been filling an empty bucket since {@code
   * heldSince}.
   */
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

  /**
   * Returns whether the last grant reported that the customer's demand over all gateways exceeds
   * its rate.
   */
  boolean isOverRate() {
    return overRate;
  }

  /** Adds a request to the demand. */
  void recordRequest(long tokens) {
    meter.addTokens((double) tokens);
    meter.updateLargestRequest((double) tokens);
  }

  /** Consumes the tokens if they are available. Otherwise records how many were missing. */
  boolean tryConsume(long tokens, Instant now) {
    if (bucket.tryConsume(tokens, now)) {
      return true;
    }
    missingTokens = Math.max(missingTokens, (double) tokens - bucket.level(now));
    return false;
  }

  /**
   * Consumes tokens that were already used, or returns tokens if the number is negative. Changes
   * the measured demand by the same number.
   */
  void charge(long tokens, Instant now) {
    meter.addTokens((double) tokens);
    bucket.charge(tokens, now);
  }

  /** Returns how long until the tokens are available, at most an hour. */
  Duration timeUntil(long tokens, Instant now) {
    return bucket.timeUntil(tokens, now);
  }

  /** Returns the available tokens; negative if requests used more than their estimates. */
  double level(Instant now) {
    return bucket.level(now);
  }

  /** Sets a new limit or floor. */
  void configure(Customer newCustomer, double newFloorFraction, Instant now) {
    customer = newCustomer;
    floorFraction = newFloorFraction;
    resizeBucket(now);
  }

  /** Returns whether the share is too small for more than one of the largest requests. */
  boolean isForSingleRequest() {
    return share.burstTokens() > 0
        && (double) share.burstTokens() < MIN_REQUESTS_PER_SHARE * meter.largestRequest();
  }

  /** Sets the share and adds the tokens credited since the previous allotment. */
  void applyAllotment(Allotment allotment, Instant now) {
    share = allotment.share();
    overRate = allotment.overRate();
    if (allotment.creditTokens() > creditedTokens && isForSingleRequest()) {
      // Requests that still lack tokens set this again when they are retried.
      missingTokens = 0;
    }
    returnedTokens += resizeBucket(now);
    bucket.charge(creditedTokens - allotment.creditTokens(), now);
    creditedTokens = Math.max(creditedTokens, allotment.creditTokens());
  }

  /**
   * Resets the count of credited tokens, because a new leader has adopted the share and counts from
   * 0.
   */
  void resetCredit() {
    creditedTokens = 0;
  }

  /** Drops the share at the end of its lease, and resets what is counted per session. */
  void dropShare(Instant at) {
    share = Share.NONE;
    resizeBucket(at);
    creditedTokens = 0;
    returnedTokens = 0;
    overRate = false;
    reportedDemand = new Demand(customer.id(), 0, 0, 0, 0);
    changedInReport = 0;
  }

  /**
   * Schedules the current demand for report {@code nextSequence} if it differs enough from the
   * reported one.
   */
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

  /** Schedules the unchanged demand for report {@code nextSequence}. */
  void scheduleReport(long nextSequence) {
    changedInReport = nextSequence;
  }

  /**
   * Returns whether the demand was scheduled for a report later than {@code answered}, the last one
   * answered.
   */
  boolean mustReport(long answered) {
    return changedInReport > answered;
  }

  /** Returns whether there is no share and no demand for one. */
  boolean isIdle() {
    return share.equals(Share.NONE)
        && reportedDemand.tokensPerSecond() == 0
        && reportedDemand.largestTokens() == 0
        && missingTokens == 0;
  }

  /** Returns the demand to put into reports. */
  Demand reportedDemand() {
    return reportedDemand;
  }

  /**
   * Returns the demand beyond the floor, with the tokens that requests lack and those to return.
   */
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

  /** Returns whether the demand differs enough from the reported one to be reported again. */
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

  /** Sets the bucket to the sums of floor and share, and returns the tokens that no longer fit. */
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
