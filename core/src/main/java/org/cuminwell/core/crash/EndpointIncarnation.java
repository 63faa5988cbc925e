package org.cuminwell.core.crash;

import org.cuminwell.core.model.EndpointId;

/** Identifies one start of an endpoint. Immutable and thread safe. */
public record EndpointIncarnation(EndpointId endpoint, long incarnation) {}
