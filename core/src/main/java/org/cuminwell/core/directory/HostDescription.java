package org.cuminwell.core.directory;

import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;

/**
 * Describes an entry host, as published by that host. Immutable and thread safe.
 *
 * @param callerAddress the address for callers
 * @param internalAddress the HTTP address for endpoints and other gateways
 * @param peerAddress the address for messages between the system's processes
 * @param load the fraction of its capacity that is in use, at least 0
 * @param stopping whether the host accepts no new callers, because it is stopping or not ready
 */
public record HostDescription(
    HostId id,
    Place place,
    HostAddress callerAddress,
    HostAddress internalAddress,
    HostAddress peerAddress,
    double load,
    boolean stopping) {}
