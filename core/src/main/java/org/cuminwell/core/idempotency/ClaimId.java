package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Names one claim by the gateway that makes it and the request that it is for.
 *
 * <p>A request id is used once, also across restarts of a gateway, so a claim id never stands for a
 * later claim. Immutable and thread safe.
 */
public record ClaimId(HostId gateway, RequestId request) {}
