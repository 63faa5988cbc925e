package org.cuminwell.core.ticket;

import java.time.Instant;
import java.util.List;
import org.cuminwell.core.model.Revision;

/**
 * Represents the answer to a submitted ticket. Submitting the same ticket again gets the first
 * answer. Immutable and thread safe.
 */
public sealed interface TicketAnswer {

  /** Reports that the ticket is accepted permanently and created the given revision. */
  record Accepted(Ticket ticket, Revision revision, Instant acceptedAt) implements TicketAnswer {}

  /**
   * Reports that another ticket was accepted under the number first; {@code winner} is that ticket.
   */
  record Conflict(Accepted winner) implements TicketAnswer {}

  /** Reports that the ticket can't be put in force, for all of the given reasons. */
  record Refused(List<ValidationError> errors) implements TicketAnswer {
    /** Copies the list. */
    public Refused {
      errors = List.copyOf(errors);
    }
  }
}
