package org.cuminwell.core.idempotency;

import java.util.Arrays;

/** Holds the bytes of an answer by value. Immutable and thread safe. */
public final class AnswerBytes {

  private final byte[] bytes;

  private AnswerBytes(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns a holder of a copy of {@code bytes}. */
  public static AnswerBytes copyOf(byte[] bytes) {
    return new AnswerBytes(bytes.clone());
  }

  /** Returns a copy of the bytes. */
  public byte[] toArray() {
    return bytes.clone();
  }

  /** Returns the length, in bytes. */
  public int length() {
    return bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AnswerBytes that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
