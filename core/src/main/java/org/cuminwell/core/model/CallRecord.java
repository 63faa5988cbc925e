package org.cuminwell.core.model;

import java.time.Duration;
import java.util.Optional;

/**
 * Sums up a request that has ended, for the metrics. Immutable and thread safe.
 *
 * @param version the version that answered or was tried last
 * @param timeToFirstByte the time from the headers to the first part of the answer
 * @param duration the time from the headers to the end
 * @param failure why there was no whole answer
 */
public record CallRecord(
    Optional<CustomerId> customer,
    Optional<RouteId> route,
    Optional<VersionId> version,
    int attempts,
    Optional<Duration> timeToFirstByte,
    Duration duration,
    Usage usage,
    Optional<Failure> failure) {}
