package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Represents a snapshot that replaces the log up to an index. Immutable and thread safe.
 *
 * @param index the index of the last entry that {@code state} includes
 * @param term the term of that entry
 * @param lastEntryCreatedAt the creation time of that entry
 * @param membership the membership after that entry
 * @param state the replicated state after that entry
 */
public record Snapshot<S>(
    long index, long term, Instant lastEntryCreatedAt, Membership membership, S state) {}
