package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Stands for the log up to an index. Immutable and thread safe.
 *
 * @param index the last entry that {@code state} includes
 * @param term the term of that entry
 * @param lastEntryCreatedAt the time of that entry
 * @param state the replicated state after that entry
 */
public record Snapshot<S>(long index, long term, Instant lastEntryCreatedAt, S state) {}
