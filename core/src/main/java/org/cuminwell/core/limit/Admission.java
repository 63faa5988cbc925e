package org.cuminwell.core.limit;

import java.time.Duration;

/** Says whether a request fits the customer's limit now. Immutable and thread safe. */
public sealed interface Admission {

  /** The estimate has been charged. */
  record Admitted() implements Admission {}

  /** The customer asks for more than its rate over all hosts. */
  record OverRate(Duration retryAfter) implements Admission {}

  /** This host's share is short, though the customer is within its rate as far as is known. */
  record ShareShort(Duration retryAfter) implements Admission {}

  /** The estimate exceeds the customer's burst and can never be admitted. */
  record TooLarge(long burstTokens) implements Admission {}
}
