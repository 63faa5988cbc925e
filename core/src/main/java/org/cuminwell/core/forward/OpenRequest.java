package org.cuminwell.core.forward;

import java.time.Duration;

/**
 * Describes a request that has not ended. Immutable and thread safe.
 *
 * @param callerId the name that the caller gave it
 * @param age how long ago its headers had come
 * @param attempts how often it was sent to an endpoint
 * @param isResponseStarted whether its answer has begun to go to the caller
 */
public record OpenRequest(String callerId, Duration age, int attempts, boolean isResponseStarted) {}
