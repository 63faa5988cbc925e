package org.cuminwell.core.model;

/**
 * Identifies a route, the name under which callers reach a service.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record RouteId(String value) implements Comparable<RouteId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public RouteId {
    Names.requireName(value, "route id");
  }

  @Override
  public int compareTo(RouteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
