package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Holds one place of the log. Immutable and thread safe.
 *
 * @param index the place, counted from 1
 * @param term the term of the leader that made the entry
 * @param createdAt the time at which that leader made it, in whole milliseconds; it never goes down
 */
public record LogEntry<C>(long index, long term, Instant createdAt, EntryContent<C> content) {}
