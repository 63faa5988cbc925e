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
 * one. Invariant: {@link #bookedRate} and {@link #bookedBurst} cover each of these, with the tokens
 * that may still be under way. Not thread safe: the thread of its {@link ShareGranter} owns it.
 */
final class Allotted {

  private final ArrayDeque<State> possible = new ArrayDeque<>();
  private Demand demand;
  private Instant missingSince = Instant.MIN;
  private boolean overRate;

  private record State(long number, Share share, long credit) {}

  Allotted(CustomerId customer) {
    demand = new Demand(customer, 0, 0, 0, 0);
    possible.add(new State(0, Share.NONE, 0));
  }

  /** Takes on a share that an earlier leader granted, before any was set here. */
  void adopt(Share share) {
    possible.clear();
    possible.add(new State(0, share, 0));
  }

  Demand demand() {
    return demand;
  }

  /** Takes in a demand, and returns how many tokens came back since the one before. */
  long demand(Demand news, Instant now) {
    long returned = Math.max(0, news.returnedTokens() - demand.returnedTokens());
    if (!isMissing()) {
      missingSince = now;
    }
    demand = news;
    return returned;
  }

  /** Returns whether a request lacks tokens that have not been handed over. */
  boolean isMissing() {
    return demand.missingTokens() > 0;
  }

  /** Returns when a request began to lack tokens, if one does. */
  Instant missingSince() {
    return missingSince;
  }

  /** Returns whether the holder may not have yet all that was handed over. */
  boolean isCreditUnderWay() {
    return possible.getLast().credit() > possible.getFirst().credit();
  }

  /** Returns what a refused request lacked, once. */
  long takeMissing() {
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
    return possible.getLast().share();
  }

  boolean isOverRate() {
    return overRate;
  }

  /** Sets the share from grant {@code number} on, and hands over {@code credit} more tokens. */
  void set(long number, Share share, long credit, boolean isOverRate) {
    long total = possible.getLast().credit() + credit;
    overRate = isOverRate;
    if (possible.getLast().number() == number) {
      possible.removeLast();
    }
    possible.addLast(new State(number, share, total));
  }

  /** Takes in that the holder has grant {@code number} in force, and nothing older. */
  void acknowledge(long number) {
    while (possible.size() > 1 && second().number() <= number) {
      possible.removeFirst();
    }
  }

  /** Returns the most that the holder may use of the rate, in tokens a second. */
  long bookedRate() {
    return possible.stream().mapToLong(state -> state.share().tokensPerSecond()).max().orElse(0);
  }

  /** Returns the most that the holder may have in hand or under way, in tokens. */
  long bookedBurst() {
    long credit = possible.getLast().credit();
    return possible.stream()
        .mapToLong(state -> state.share().burstTokens() + credit - state.credit())
        .max()
        .orElse(0);
  }

  boolean isAfter(long acknowledged) {
    return possible.getLast().number() > acknowledged;
  }

  /** Returns whether nothing is allotted, certainly, and nothing wanted. */
  boolean isEmpty() {
    return possible.size() == 1
        && share().equals(Share.NONE)
        && demand.tokensPerSecond() == 0
        && demand.largestTokens() == 0;
  }

  Allotment allotment() {
    State last = possible.getLast();
    return new Allotment(demand.customer(), last.share(), last.credit(), overRate);
  }

  private State second() {
    var states = possible.iterator();
    states.next();
    return states.next();
  }
}
