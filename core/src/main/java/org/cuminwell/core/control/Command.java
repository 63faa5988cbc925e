package org.cuminwell.core.control;

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
}
