package org.cuminwell.core.ticket;

import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.TicketNumber;

/**
 * Asks for a change of the configuration under a number that is used once.
 *
 * <p>Two tickets are the same if number and change are equal, whatever the order of fields in which
 * they were written. Immutable and thread safe.
 */
public record Ticket(TicketNumber number, ConfigurationChange change) {}
