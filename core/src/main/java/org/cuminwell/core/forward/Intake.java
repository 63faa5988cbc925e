package org.cuminwell.core.forward;

import java.time.Instant;

/** Tells which new requests a gateway takes. Immutable and thread safe. */
public sealed interface Intake {

  /** All requests are taken. */
  record All() implements Intake {}

  /** Requests are taken whose answers are expected to have ended by the moment. */
  record EndingBy(Instant end) implements Intake {}

  /** No request is taken. */
  record None() implements Intake {}
}
