package org.cuminwell.core.limit;

import java.util.List;
import org.cuminwell.core.model.CustomerId;

/**
 * Carries shares of limits between gateways and the control host that leads.
 *
 * <p>Messages may be lost, duplicated or reordered, so each carries everything that the receiver
 * has not acknowledged yet. Immutable and thread safe.
 */
public sealed interface LimitMessage {

  /**
   * Announces to a gateway that the sender grants shares.
   *
   * @param epoch the term of the leader; a higher one replaces a lower one
   */
  record LeaderAnnouncement(long epoch) implements LimitMessage {}

  /**
   * Requests shares and renews the lease on those held.
   *
   * @param epoch the epoch of the leader that is addressed
   * @param session the number of the sender's session; starting one releases all shares of lower
   *     ones
   * @param sequence increases with each report of a session
   * @param acknowledgedGrant the highest grant number of this session that is in force
   * @param demands the demands that changed since the last answered report
   * @param heldShares every share that an earlier leader granted and that is still in use; empty
   *     once a grant of the addressed leader is in force
   */
  record Report(
      long epoch,
      long session,
      long sequence,
      long acknowledgedGrant,
      List<Demand> demands,
      List<HeldShare> heldShares)
      implements LimitMessage {
    /** Copies the lists. */
    public Report {
      demands = List.copyOf(demands);
      heldShares = List.copyOf(heldShares);
    }
  }

  /** Reports a share that an earlier leader granted. Immutable and thread safe. */
  record HeldShare(CustomerId customer, Share share) {}

  /**
   * Sets shares of one gateway.
   *
   * @param number increases with each grant of a session
   * @param answeredSequence the sequence of the last report received; the lease starts when that
   *     report was sent
   * @param adoptsHeldShares whether the reported shares of an earlier leader stay in force
   * @param allotments every share that changed since the last acknowledged grant
   */
  record Grant(
      long epoch,
      long session,
      long number,
      long answeredSequence,
      boolean adoptsHeldShares,
      List<Allotment> allotments)
      implements LimitMessage {
    /** Copies the list. */
    public Grant {
      allotments = List.copyOf(allotments);
    }
  }

  /**
   * Reports a gateway's demand for one customer. Immutable and thread safe.
   *
   * @param tokensPerSecond the recent demand beyond the floor, in tokens per second
   * @param largestTokens the largest recent estimate of one request, in tokens; 0 if the floor
   *     suffices for it
   * @param missingTokens how many tokens a request lacked since the last report
   * @param returnedTokens the total of tokens returned in this session
   */
  record Demand(
      CustomerId customer,
      long tokensPerSecond,
      long largestTokens,
      long missingTokens,
      long returnedTokens) {}

  /**
   * Sets one share. Immutable and thread safe.
   *
   * @param creditTokens the total of tokens credited in this session
   * @param overRate whether the customer's demand over all gateways exceeds its rate
   */
  record Allotment(CustomerId customer, Share share, long creditTokens, boolean overRate) {}
}
