package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Represents an entry of the replicated log. Immutable and thread safe.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that created the entry
 * @param createdAt the leader's clock when it created the entry, in whole milliseconds; never
 *     decreases along the log
 */
public record LogEntry<C>(long index, long term, Instant createdAt, EntryContent<C> content) {}
