package org.cuminwell.core.control;

import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/**
 * Holds the whole replicated state at one index of the log. Immutable and thread safe.
 *
 * @param tickets every accepted ticket in the order of numbers
 */
public record StateSnapshot(Configuration configuration, List<Accepted> tickets) {

  /** Copies the list. */
  public StateSnapshot {
    tickets = List.copyOf(tickets);
  }
}
