package org.cuminwell.core.forward;

import java.time.Instant;

/** Says which new requests a gateway accepts. Immutable and thread safe. */
public sealed interface AcceptancePolicy {

  /** Accepts all requests. */
  record All() implements AcceptancePolicy {}

  /** Accepts requests whose responses are expected to complete by the deadline. */
  record EndingBy(Instant deadline) implements AcceptancePolicy {}

  /** Accepts no request. */
  record None() implements AcceptancePolicy {}
}
