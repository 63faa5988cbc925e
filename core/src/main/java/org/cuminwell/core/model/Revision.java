package org.cuminwell.core.model;

/**
 * Numbers a state of the configuration; each accepted change makes the next one.
 *
 * <p>Invariant: {@code value} is not negative; zero is the empty configuration. Immutable and
 * thread safe.
 */
public record Revision(long value) implements Comparable<Revision> {

  /** The revision of the empty configuration, before any change. */
  public static final Revision ZERO = new Revision(0);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public Revision {
    if (value < 0) {
      throw new IllegalArgumentException("revision must not be negative; found " + value);
    }
  }

  /** Returns the revision after this one. */
  public Revision next() {
    return new Revision(value + 1);
  }

  /** Returns whether this revision comes after {@code other}. */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
