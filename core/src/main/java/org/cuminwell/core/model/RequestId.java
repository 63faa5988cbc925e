package org.cuminwell.core.model;

/**
 * Identifies one request from its arrival to the end of its response.
 *
 * <p>Invariant: {@code value} is a name as {@link Names} requires it. Immutable and thread safe.
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if {@code value} is not a name
   */
  public RequestId {
    Names.requireName(value, "request id");
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
