package org.cuminwell.core.ticket;

/**
 * Describes an error in a ticket or another JSON document. Immutable and thread safe.
 *
 * @param path the field in error, such as {@code customers.ID.keys}; empty for the whole document
 * @param message what is wrong, and how to fix it where that isn't obvious
 */
public record ValidationError(String path, String message) {}
