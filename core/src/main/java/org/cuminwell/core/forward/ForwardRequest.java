package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.routing.Prompt;

/**
 * Holds what decisions need of a request that is to be forwarded; its bytes stay with the front
 * end.
 *
 * <p>Immutable and thread safe.
 *
 * @param callerId the name that the caller gave the request; endpoints know it by this name
 * @param host the host name that the caller asked for
 * @param path the path, without the query
 * @param arrivedAt when the headers had come
 * @param callerTimeout how long the caller waits for the whole answer, if it says so
 * @param declaredTokens what the request is charged, in tokens, if it says so
 * @param prompt what an engine has to read for the request, empty if it does not say
 */
public record ForwardRequest(
    RequestId id,
    String callerId,
    String host,
    String path,
    Optional<KeyHash> key,
    Instant arrivedAt,
    Optional<Duration> callerTimeout,
    OptionalLong declaredTokens,
    Prompt prompt) {}
