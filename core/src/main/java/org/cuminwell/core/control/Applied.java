package org.cuminwell.core.control;

import org.cuminwell.core.ticket.TicketAnswer;

/** Is the result of applying one command. Immutable and thread safe. */
public sealed interface Applied {

  /** Answers a {@link Command.AcceptTicket}. */
  record TicketAnswered(TicketAnswer answer) implements Applied {}
}
