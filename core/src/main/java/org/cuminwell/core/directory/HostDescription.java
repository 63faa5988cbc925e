package org.cuminwell.core.directory;

import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;

/**
 * Describes an entry host as it tells of itself. Immutable and thread safe.
 *
 * @param callerAddress where callers reach it
 * @param internalAddress where endpoints and other gateways reach its HTTP side
 * @param peerAddress where the system's own messages reach it
 * @param load the share of its capacity that is in use, 0 and up
 * @param stopping whether it takes no new callers, since it stops or is not ready
 */
public record HostDescription(
    HostId id,
    Place place,
    HostAddress callerAddress,
    HostAddress internalAddress,
    HostAddress peerAddress,
    double load,
    boolean stopping) {}
