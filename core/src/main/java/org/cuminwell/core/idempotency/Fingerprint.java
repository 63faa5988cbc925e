package org.cuminwell.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Holds a SHA-256 digest of a call's content, which shows when a key is reused for another call.
 *
 * <p>Invariant: {@code hex} is 64 lower-case hexadecimal digits. Immutable and thread safe.
 */
public record Fingerprint(String hex) {

  private static final int HEX_DIGITS = 64;

  /**
   * Validates the digest.
   *
   * @throws IllegalArgumentException if {@code hex} is malformed
   */
  public Fingerprint {
    boolean digits = hex.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    if (hex.length() != HEX_DIGITS || !digits) {
      throw new IllegalArgumentException("fingerprint must be 64 lower-case hexadecimal digits");
    }
  }

  /** Returns the fingerprint of a call's method, path with query, and body. */
  public static Fingerprint of(String method, String path, byte[] body) {
    MessageDigest digest = sha256();
    add(digest, method.getBytes(StandardCharsets.UTF_8));
    add(digest, path.getBytes(StandardCharsets.UTF_8));
    add(digest, body);
    return new Fingerprint(HexFormat.of().formatHex(digest.digest()));
  }

  /** Adds a part, prefixed with its length so that different parts never give the same input. */
  private static void add(MessageDigest digest, byte[] part) {
    digest.update((part.length + ":").getBytes(StandardCharsets.US_ASCII));
    digest.update(part);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
