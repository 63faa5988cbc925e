package org.cuminwell.core.model;

/**
 * Identifies a change ticket. Operators choose the number, and it alone identifies the ticket: the
 * same number with other content is a conflict.
 *
 * <p>Invariant: {@code value} is positive. Immutable and thread safe.
 */
public record TicketNumber(long value) implements Comparable<TicketNumber> {

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if {@code value} is not positive
   */
  public TicketNumber {
    if (value <= 0) {
      throw new IllegalArgumentException("ticket number must be at least 1; found " + value);
    }
  }

  @Override
  public int compareTo(TicketNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
