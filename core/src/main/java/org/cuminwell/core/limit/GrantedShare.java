package org.cuminwell.core.limit;

import java.time.Instant;
import java.util.ArrayDeque;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.model.CustomerId;

/**
 * Keeps what the granter has allotted to one holder of one customer's limit.
 *
 * <p>Until a grant is acknowledged, the holder may use that one or any since the last acknowledged
 * one. Invariant: {@link #reservedRate} and {@link #reservedBurst} cover each of these, with the
 * tokens that may still be under way. Not thread safe: the thread of its {@link ShareGranter} owns
 * it.
 */
final class GrantedShare {

  private final ArrayDeque<PossibleGrant> possibleGrants = new ArrayDeque<>();
  private Demand demand;
  private Instant missingSince = Instant.MIN;
  private boolean overRate;

  private record PossibleGrant(long number, Share share, long creditTokens) {}

  GrantedShare(CustomerId customer) {
    demand = new Demand(customer, 0, 0, 0, 0);
    possibleGrants.add(new PossibleGrant(0, Share.NONE, 0));
  }

  /** Takes on a share that an earlier leader granted, before any was set here. */
  void adopt(Share share) {
    possibleGrants.clear();
    possibleGrants.add(new PossibleGrant(0, share, 0));
  }

  Demand demand() {
    return demand;
  }

  /** Takes in a demand, and returns how many tokens came back since the one before. */
  long updateDemand(Demand reported, Instant now) {
    long returned = Math.max(0, reported.returnedTokens() - demand.returnedTokens());
    if (!hasMissingTokens()) {
      missingSince = now;
    }
    demand = reported;
    return returned;
  }

  /** Returns whether a request lacks tokens that have not been handed over. */
  boolean hasMissingTokens() {
    return demand.missingTokens() > 0;
  }

  /** Returns when a request began to lack tokens, if one does. */
  Instant missingSince() {
    return missingSince;
  }

  /** Returns whether the holder may not have yet all that was handed over. */
  boolean hasCreditInTransit() {
    return possibleGrants.getLast().creditTokens() > possibleGrants.getFirst().creditTokens();
  }

  /** Returns what a refused request lacked, once. */
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

  Share share() {
    return possibleGrants.getLast().share();
  }

  boolean isOverRate() {
    return overRate;
  }

  /** Sets the share from grant {@code number} on, and hands over {@code credit} more tokens. */
  void recordGrant(long number, Share share, long credit, boolean isOverRate) {
    long totalCredit = possibleGrants.getLast().creditTokens() + credit;
    overRate = isOverRate;
    if (possibleGrants.getLast().number() == number) {
      possibleGrants.removeLast();
    }
    possibleGrants.addLast(new PossibleGrant(number, share, totalCredit));
  }

  /** Takes in that the holder has grant {@code number} in force, and nothing older. */
  void acknowledge(long number) {
    while (possibleGrants.size() > 1 && second().number() <= number) {
      possibleGrants.removeFirst();
    }
  }

  /** Returns the most that the holder may use of the rate, in tokens a second. */
  long reservedRate() {
    return possibleGrants.stream()
        .mapToLong(possibleGrant -> possibleGrant.share().tokensPerSecond())
        .max()
        .orElse(0);
  }

  /** Returns the most that the holder may have in hand or under way, in tokens. */
  long reservedBurst() {
    long creditTokens = possibleGrants.getLast().creditTokens();
    return possibleGrants.stream()
        .mapToLong(
            possibleGrant ->
                possibleGrant.share().burstTokens() + creditTokens - possibleGrant.creditTokens())
        .max()
        .orElse(0);
  }

  boolean isNewerThan(long acknowledged) {
    return possibleGrants.getLast().number() > acknowledged;
  }

  /** Returns whether nothing is allotted, certainly, and nothing wanted. */
  boolean isEmpty() {
    return possibleGrants.size() == 1
        && share().equals(Share.NONE)
        && demand.tokensPerSecond() == 0
        && demand.largestTokens() == 0;
  }

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
