package org.cuminwell.core.idempotency;

/** Joins a caller's key with what the call contains. Immutable and thread safe. */
public record IdempotentCall(IdempotencyKey key, Fingerprint fingerprint) {}
