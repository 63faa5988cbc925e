package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RouteId;

/** Names what may be claimed once: a customer's key on one route. Immutable and thread safe. */
public record ClaimKey(CustomerId customer, RouteId route, IdempotencyKey key) {}
