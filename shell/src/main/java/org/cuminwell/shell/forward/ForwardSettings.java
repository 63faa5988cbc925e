package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the validated settings of a gateway that forwards requests. Immutable and thread safe.
 *
 * @param callerAddress the address at which it listens for callers
 * @param readinessAddress the address at which it answers readiness probes, if it does
 * @param dialect translates the requests of callers and the responses of endpoints
 * @param bounds how long keys stay valid without news of the configuration, and how many retries
 *     are allowed
 * @param warmUp how it warms up before it accepts callers, if it does
 */
public record ForwardSettings(
    HostAddress callerAddress,
    Optional<HostAddress> readinessAddress,
    ForwardDialect dialect,
    ForwardBounds bounds,
    Optional<WarmUpSettings> warmUp) {}
