package org.cuminwell.core.forward;

import java.time.Instant;

/** Says which new requests a gateway accepts. Immutable and thread safe. */
public sealed interface AcceptancePolicy {

  /** All requests are accepted. */
  record All() implements AcceptancePolicy {}

  /** Requests are accepted whose responses are expected to complete by the deadline. */
  record EndingBy(Instant deadline) implements AcceptancePolicy {}

  /** No request is accepted. */
  record None() implements AcceptancePolicy {}
}
