package org.cuminwell.core.idempotency;

import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RouteId;

/**
 * Identifies what a claim locks: a customer's idempotency key on one route. Immutable and thread
 * safe.
 */
public record ClaimKey(CustomerId customer, RouteId route, IdempotencyKey key) {}
