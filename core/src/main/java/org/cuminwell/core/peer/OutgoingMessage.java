package org.cuminwell.core.peer;

import org.cuminwell.core.model.HostId;

/** Addresses a message to another process of the system. Immutable and thread safe. */
public record OutgoingMessage(HostId peer, PeerMessage message) {}
