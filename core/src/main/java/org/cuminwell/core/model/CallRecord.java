package org.cuminwell.core.model;

import java.time.Duration;
import java.util.Optional;

/**
 * Summarises a request that has ended, for the metrics. Immutable and thread safe.
 *
 * @param version the version of the endpoint that the last attempt was sent to
 * @param attempts how many attempts were sent to endpoints
 * @param timeToFirstByte the time from the request's headers to the first part of the response
 * @param duration the time from the request's headers to the end of the request
 * @param failure why there was no complete response; empty if there was one
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
