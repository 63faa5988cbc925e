package org.cuminwell.core.ticket;

import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.TicketNumber;

/**
 * Represents a request to change the configuration under a number that can be used once.
 *
 * <p>Two tickets are equal if number and change are equal, whatever the order of fields in their
 * JSON. Immutable and thread safe.
 */
public record Ticket(TicketNumber number, ConfigurationChange change) {}
