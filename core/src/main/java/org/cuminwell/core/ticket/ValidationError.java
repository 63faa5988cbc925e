package org.cuminwell.core.ticket;

/**
 * Names one fault of a ticket and how to mend it. Immutable and thread safe.
 *
 * @param path where the fault is, as {@code customers.ID.keys}
 */
public record ValidationError(String path, String message) {}
