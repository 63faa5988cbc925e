package org.cuminwell.core.limit;

import java.time.Instant;
import java.util.ArrayDeque;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.model.CustomerId;

/**
 * Tracks the share that the granter has granted to one holder for one customer.
 *
 * <p>Until a grant is acknowledged, the holder may use that grant or any grant since the last
 * acknowledged one. Invariant: {@link #reservedRate} and {@link #reservedBurst} cover each of these
 * grants, including credited tokens that may still be in transit. Not thread safe: the thread of
 * its {@link ShareGranter} owns it.
 */
final class GrantedShare {

  /** The grants that the holder may be using: the last acknowledged one and all later ones. */
  private final ArrayDeque<PossibleGrant> possibleGrants = new ArrayDeque<>();

  private Demand demand;
  private Instant missingSince = Instant.MIN;
  private boolean overRate;

  /** Describes one grant: the share it sets, and the total of tokens credited up to it. */
  private record PossibleGrant(long number, Share share, long creditTokens) {}

  GrantedShare(CustomerId customer) {
    demand = new Demand(customer, 0, 0, 0, 0);
    possibleGrants.add(new PossibleGrant(0, Share.NONE, 0));
  }

  /**
   * Starts with a share that an earlier leader granted. Must precede every grant of this leader.
   */
  void adopt(Share share) {
    possibleGrants.clear();
    possibleGrants.add(new PossibleGrant(0, share, 0));
  }

  /** Returns the last reported demand. */
  Demand demand() {
    return demand;
  }

  /**
   * Records a reported demand, and returns how many tokens the holder returned since the previous
   * report.
   */
  long updateDemand(Demand reported, Instant now) {
    long returned = Math.max(0, reported.returnedTokens() - demand.returnedTokens());
    if (!hasMissingTokens()) {
      missingSince = now;
    }
    demand = reported;
    return returned;
  }

  /** Returns whether a waiting request lacks tokens that have not been credited. */
  boolean hasMissingTokens() {
    return demand.missingTokens() > 0;
  }

  /**
   * Returns since when a request has lacked tokens; meaningful only while {@link
   * #hasMissingTokens}.
   */
  Instant missingSince() {
    return missingSince;
  }

  /** Returns whether credited tokens may not have reached the holder yet. */
  boolean hasCreditInTransit() {
    return possibleGrants.getLast().creditTokens() > possibleGrants.getFirst().creditTokens();
  }

  /** Returns how many tokens a waiting request lacks, and resets the number to 0. */
  long clearMissingTokens() {
    long missing = demand.missingTokens();
    demand =
        new Demand(
            demand.customer(),
            demand.tokensPerSecond(),
            demand.largestTokens(),
            0,
            demand.returnedTokens());
    return missing;
  }

  /** Returns the share of the latest grant. */
  Share share() {
    return possibleGrants.getLast().share();
  }

  /** Returns whether the latest grant reports that the customer's demand exceeds its rate. */
  boolean isOverRate() {
    return overRate;
  }

  /**
   * Records that grant {@code number} sets the share and credits {@code credit} more tokens.
   * Replaces an unsent grant of the same number.
   */
  void recordGrant(long number, Share share, long credit, boolean isOverRate) {
    long totalCredit = possibleGrants.getLast().creditTokens() + credit;
    overRate = isOverRate;
    if (possibleGrants.getLast().number() == number) {
      possibleGrants.removeLast();
    }
    possibleGrants.addLast(new PossibleGrant(number, share, totalCredit));
  }

  /** Records that the holder uses grant {@code number} and nothing older. */
  void acknowledge(long number) {
    while (possibleGrants.size() > 1 && second().number() <= number) {
      possibleGrants.removeFirst();
    }
  }

  /** Returns the highest rate that the holder may be using, in tokens per second. */
  long reservedRate() {
    return possibleGrants.stream()
        .mapToLong(possibleGrant -> possibleGrant.share().tokensPerSecond())
        .max()
        .orElse(0);
  }

  /** Returns the most burst that the holder may have available or in transit, in tokens. */
  long reservedBurst() {
    long creditTokens = possibleGrants.getLast().creditTokens();
    return possibleGrants.stream()
        .mapToLong(
            possibleGrant ->
                possibleGrant.share().burstTokens() + creditTokens - possibleGrant.creditTokens())
        .max()
        .orElse(0);
  }

  /** Returns whether the latest grant has a higher number than {@code acknowledged}. */
  boolean isNewerThan(long acknowledged) {
    return possibleGrants.getLast().number() > acknowledged;
  }

  /** Returns whether the holder certainly has no share and wants none. */
  boolean isEmpty() {
    return possibleGrants.size() == 1
        && share().equals(Share.NONE)
        && demand.tokensPerSecond() == 0
        && demand.largestTokens() == 0;
  }

  /** Returns the message part that sets the share at the holder. */
  Allotment allotment() {
    PossibleGrant last = possibleGrants.getLast();
    return new Allotment(demand.customer(), last.share(), last.creditTokens(), overRate);
  }

  private PossibleGrant second() {
    var grants = possibleGrants.iterator();
    grants.next();
    return grants.next();
  }
}
