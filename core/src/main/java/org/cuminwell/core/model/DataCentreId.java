package org.cuminwell.core.model;

/**
 * Identifies a data centre, the unit that a network partition can cut off.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public DataCentreId {
    Names.requireName(value, "data centre id");
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
