package org.cuminwell.core.forward;

import java.time.Duration;

/**
 * Describes a request that has not ended. Immutable and thread safe.
 *
 * @param callerRequestId the request ID that the caller sent
 * @param age the time since its headers were received
 * @param attempts how often it was sent to an endpoint
 * @param isResponseStarted whether its response is being passed to the caller
 */
public record OpenRequest(
    String callerRequestId, Duration age, int attempts, boolean isResponseStarted) {}
