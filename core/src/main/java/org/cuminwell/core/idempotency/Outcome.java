package org.cuminwell.core.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cuminwell.core.model.Bytes;

/** Says how a claimed call ended, as far as its gateway knows. Immutable and thread safe. */
public sealed interface Outcome {

  /** The longest body that is kept for resends, in bytes. */
  int MAX_BODY_BYTES = 8 * 1024;

  /** The call ran, and its answer is kept for resends. */
  record Answered(int status, String contentType, Bytes body) implements Outcome {

    /** Returns the same answer without its body, of which length and digest are left. */
    public NotKept withoutBody() {
      return new NotKept(status, body.length(), digest(body.toArray()));
    }
  }

  /**
   * The call ran and was answered, but the body is too long to keep.
   *
   * @param bytes the length of the body, in bytes
   * @param sha256 the digest of the body, in hexadecimal digits
   */
  record NotKept(int status, long bytes, String sha256) implements Outcome {}

  /** The call ran, and its answer was lost. */
  record AnswerLost() implements Outcome {}

  /** The call may or may not have run, and nobody will ever know here. */
  record Unknown() implements Outcome {}

  /** Returns the outcome of a call that was answered; a long body is not kept. */
  static Outcome answered(int status, String contentType, byte[] body) {
    return body.length <= MAX_BODY_BYTES
        ? new Answered(status, contentType, Bytes.copyOf(body))
        : new NotKept(status, body.length, digest(body));
  }

  private static String digest(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
