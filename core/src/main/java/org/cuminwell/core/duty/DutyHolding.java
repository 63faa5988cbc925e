package org.cuminwell.core.duty;

import java.time.Instant;
import org.cuminwell.core.model.HostId;

/**
 * Describes who holds a duty. Immutable and thread safe.
 *
 * @param term the term in which the holder leads
 * @param token the fencing token, which no other holding of the duty ever has
 * @param takenAt when the leader proposed it, in whole milliseconds
 */
public record DutyHolding(HostId holder, long term, long token, Instant takenAt) {}
