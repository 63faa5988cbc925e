package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.routing.Prompt;

/**
 * Holds the properties of a request that forwarding decisions depend on. The front end keeps the
 * headers and the body.
 *
 * <p>Immutable and thread safe.
 *
 * @param callerRequestId the request ID that the caller sent; endpoints receive the same ID
 * @param host the host name that the request is addressed to
 * @param path the path, without the query
 * @param arrivedAt when the headers were received
 * @param callerTimeout how long the caller waits for the complete response, if it says so
 * @param declaredTokens the tokens that the limit is charged for the request, if the caller states
 *     them
 * @param prompt the prompt that an engine prefills for the request; it has no parts if the caller
 *     does not describe it
 */
public record ForwardRequest(
    RequestId id,
    String callerRequestId,
    String host,
    String path,
    Optional<KeyHash> key,
    Instant arrivedAt,
    Optional<Duration> callerTimeout,
    OptionalLong declaredTokens,
    Prompt prompt) {}
