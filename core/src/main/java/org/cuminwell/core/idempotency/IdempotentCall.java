package org.cuminwell.core.idempotency;

/**
 * Holds a caller's idempotency key together with the fingerprint of the call. Immutable and thread
 * safe.
 */
public record IdempotentCall(IdempotencyKey key, Fingerprint fingerprint) {}
