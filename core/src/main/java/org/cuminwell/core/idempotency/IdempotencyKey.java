package org.cuminwell.core.idempotency;

/**
 * Identifies the retries of one call by a key that the caller chose.
 *
 * <p>Invariant: {@code value} is 1 to {@link #MAX_LENGTH} printable ASCII characters without
 * spaces. Immutable and thread safe.
 */
public record IdempotencyKey(String value) {

  /** The maximum length of a key, in characters. */
  public static final int MAX_LENGTH = 128;

  /**
   * Validates the key.
   *
   * @throws IllegalArgumentException if the key is empty, too long or contains other characters
   */
  public IdempotencyKey {
    boolean printable = value.chars().allMatch(c -> c > ' ' && c < 0x7f);
    if (value.isEmpty() || value.length() > MAX_LENGTH || !printable) {
      throw new IllegalArgumentException(
          "Idempotency-Key must be 1 to "
              + MAX_LENGTH
              + " printable ASCII characters without spaces");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
