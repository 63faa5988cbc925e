package org.cuminwell.core.model;

/**
 * Identifies a version of what an endpoint serves.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record VersionId(String value) implements Comparable<VersionId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public VersionId {
    Names.requireName(value, "version id");
  }

  @Override
  public int compareTo(VersionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
