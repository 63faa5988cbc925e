package org.cuminwell.core.model;

/**
 * Identifies a customer across all regions.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public CustomerId {
    Names.requireName(value, "customer id");
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
