package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the checked settings of a gateway that forwards requests. Immutable and thread safe.
 *
 * @param callerAddress where callers reach it
 * @param readinessAddress where it tells whether it takes callers, if anybody asks
 * @param dialect translates what callers and endpoints say
 * @param warmUp how it warms up before callers come, if it does
 */
public record ForwardSettings(
    HostAddress callerAddress,
    Optional<HostAddress> readinessAddress,
    ForwardDialect dialect,
    ForwardBounds bounds,
    Optional<WarmUpSettings> warmUp) {}
