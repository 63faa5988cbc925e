package org.cuminwell.core.model;

/**
 * Identifies a region, the unit of data residency.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public RegionId {
    Names.requireName(value, "region id");
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
