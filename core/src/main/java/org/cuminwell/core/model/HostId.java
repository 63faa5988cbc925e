package org.cuminwell.core.model;

/**
 * Identifies a host that runs a process of the system.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record HostId(String value) implements Comparable<HostId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public HostId {
    Names.requireName(value, "host id");
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
