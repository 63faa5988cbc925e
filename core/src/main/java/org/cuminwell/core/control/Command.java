package org.cuminwell.core.control;

import org.cuminwell.core.idempotency.ClaimChange;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.ticket.Ticket;

/**
 * Is one change of the state that all control hosts replicate.
 *
 * <p>A command takes effect when it has its place in the agreed order, and not before. Immutable
 * and thread safe.
 */
public sealed interface Command {

  /** Asks to put a ticket in force under its number. */
  record AcceptTicket(Ticket ticket) implements Command {}

  /** Asks to change the claim on a key. */
  record ChangeClaim(ClaimChange change) implements Command {}

  /** Asks to record the next step of a version move. */
  record AdvanceRollout(RolloutAdvance advance) implements Command {}

  /**
   * Returns whether applying the command twice gives the same state and result as once, so that it
   * may be sent to a new leader while its fate with the old one is unknown.
   */
  default boolean isIdempotent() {
    return switch (this) {
      case AcceptTicket _ -> true;
      case ChangeClaim _, AdvanceRollout _ -> false;
    };
  }
}
