package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Identifies a claim by the gateway that makes it and the request that it is for.
 *
 * <p>Request ids are unique, also across restarts of a gateway, so a claim id never refers to a
 * later claim. Immutable and thread safe.
 */
public record ClaimId(HostId gateway, RequestId request) {}
