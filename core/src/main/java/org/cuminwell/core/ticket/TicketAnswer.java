package org.cuminwell.core.ticket;

import java.time.Instant;
import java.util.List;
import org.cuminwell.core.model.Revision;

/** Answers a submitted ticket; a resent ticket gets the first answer again. Immutable. */
public sealed interface TicketAnswer {

  /** The ticket is accepted for good and makes the given revision. */
  record Accepted(Ticket ticket, Revision revision, Instant acceptedAt) implements TicketAnswer {}

  /** Another ticket won the number; {@code winner} is what stands under it. */
  record Conflict(Accepted winner) implements TicketAnswer {}

  /** The ticket can't be put in force; every fault is named. */
  record Refused(List<ValidationError> errors) implements TicketAnswer {
    /** Copies the list. */
    public Refused {
      errors = List.copyOf(errors);
    }
  }
}
