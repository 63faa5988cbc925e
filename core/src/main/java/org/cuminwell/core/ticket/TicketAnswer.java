package org.cuminwell.core.ticket;

import java.time.Instant;
import java.util.List;
import org.cuminwell.core.model.Revision;

/**
 * The answer to a submitted ticket. Submitting the same ticket again gets the first answer.
 * Immutable and thread safe.
 */
public sealed interface TicketAnswer {

  /** The ticket is accepted permanently and created the given revision. */
  record Accepted(Ticket ticket, Revision revision, Instant acceptedAt) implements TicketAnswer {}

  /** Another ticket was accepted under the number first; {@code winner} is that ticket. */
  record Conflict(Accepted winner) implements TicketAnswer {}

  /** The ticket can't be put in force, for all of the given reasons. */
  record Refused(List<ValidationError> errors) implements TicketAnswer {
    /** Copies the list. */
    public Refused {
      errors = List.copyOf(errors);
    }
  }
}
