package org.cuminwell.core.model;

import java.util.Arrays;

/** Holds an immutable sequence of bytes that is compared by content. Thread safe. */
public final class Bytes {

  private final byte[] bytes;

  private Bytes(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns an instance that holds a copy of {@code bytes}. */
  public static Bytes copyOf(byte[] bytes) {
    return new Bytes(bytes.clone());
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
    return other instanceof Bytes that && Arrays.equals(bytes, that.bytes);
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
