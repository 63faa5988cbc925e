package org.cuminwell.core.limit;

import java.util.List;
import org.cuminwell.core.model.CustomerId;

/**
 * Carries shares of limits between gateways and the control host that leads.
 *
 * <p>Messages may be lost, doubled and reordered: each carries all that the other side has not
 * acknowledged yet. Immutable and thread safe.
 */
public sealed interface LimitMessage {

  /**
   * Tells a gateway who grants shares.
   *
   * @param epoch the term of the leader; a higher one replaces a lower one
   */
  record LeaderAnnouncement(long epoch) implements LimitMessage {}

  /**
   * Asks for shares and renews the lease on those held.
   *
   * @param epoch the leader that is asked
   * @param session the period of holding; a higher one holds nothing of a lower one
   * @param sequence grows with each report of a session
   * @param acknowledgedGrant the highest grant number of this session that is in force
   * @param demands what changed since the last report that was answered
   * @param heldShares every share that an earlier leader granted and that is still in use, as long
   *     as the leader that is asked has granted nothing
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

  /** Tells of a share that an earlier leader granted. Immutable and thread safe. */
  record HeldShare(CustomerId customer, Share share) {}

  /**
   * Sets shares.
   *
   * @param number grows with each grant of a session
   * @param answeredSequence the sequence of the last report that was heard; the lease runs from its
   *     sending
   * @param adoptsHeldShares whether the shares that an earlier leader granted go on, as they were
   *     reported
   * @param allotments every share that changed since the last grant that was acknowledged
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
   * Says what a gateway could use for a customer. Immutable and thread safe.
   *
   * @param tokensPerSecond the recent demand beyond the floor, in tokens a second
   * @param largestTokens the largest recent estimate of one request, in tokens
   * @param missingTokens what a refused request lacked since the last report, in tokens
   * @param returnedTokens all tokens given back in this session, in tokens
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
   * @param creditTokens all tokens handed over in this session, in tokens
   * @param overRate whether the customer's demand over all gateways exceeds its rate
   */
  record Allotment(CustomerId customer, Share share, long creditTokens, boolean overRate) {}
}
