package org.cuminwell.core.forward;

import java.time.Instant;

/** Tells which new requests a gateway takes. Immutable and thread safe. */
public sealed interface AcceptancePolicy {

  /** All requests are taken. */
  record All() implements AcceptancePolicy {}

  /** Requests are taken whose answers are expected to have ended by the moment. */
  record EndingBy(Instant deadline) implements AcceptancePolicy {}

  /** No request is taken. */
  record None() implements AcceptancePolicy {}
}
