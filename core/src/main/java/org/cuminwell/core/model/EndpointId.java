package org.cuminwell.core.model;

/**
 * Identifies an endpoint, a model engine or plain service that requests are routed to.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public EndpointId {
    Names.requireName(value, "endpoint id");
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
