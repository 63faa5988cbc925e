package org.cuminwell.core.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Holds the SHA-256 digest of a customer's key, so that the key itself need not be stored.
 *
 * <p>The digest is not salted: keys are long random strings, so they can't be found from it by
 * trial. Invariant: {@code hex} is 64 lower-case hexadecimal digits. Comparison takes constant
 * time. Immutable and thread safe.
 */
public record KeyHash(String hex) {

  private static final int HEX_DIGITS = 64;

  /**
   * Checks the digest.
   *
   * @throws IllegalArgumentException if {@code hex} is not 64 lower-case hexadecimal digits
   */
  public KeyHash {
    if (hex.length() != HEX_DIGITS || !hex.chars().allMatch(KeyHash::isHexDigit)) {
      throw new IllegalArgumentException("key hash must be 64 lower-case hexadecimal digits");
    }
  }

  /** Returns the hash of a key as a caller sends it. */
  public static KeyHash of(String key) {
    byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
    return new KeyHash(HexFormat.of().formatHex(digest));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof KeyHash that
        && MessageDigest.isEqual(
            hex.getBytes(StandardCharsets.US_ASCII), that.hex.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public int hashCode() {
    return hex.hashCode();
  }

  /** Returns the first 8 digits, which are enough to tell keys apart in logs. */
  @Override
  public String toString() {
    return hex.substring(0, 8);
  }

  private static boolean isHexDigit(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
