package org.cuminwell.core.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cuminwell.core.model.Bytes;

/** Says how a claimed call ended, as far as its gateway knows. Immutable and thread safe. */
public sealed interface CallOutcome {

  /** The longest body that is kept for resends, in bytes. */
  int MAX_BODY_BYTES = 8 * 1024;

  /** The call ran, and its answer is kept for resends. */
  record Answered(int status, String contentType, Bytes body) implements CallOutcome {

    /** Returns the same answer without its body, of which length and digest are left. */
    public BodyNotKept withoutBody() {
      return new BodyNotKept(status, body.length(), digest(body.toArray()));
    }
  }

  /**
   * The call ran and was answered, but the body is too long to keep.
   *
   * @param bytes the length of the body, in bytes
   * @param sha256 the digest of the body, in hexadecimal digits
   */
  record BodyNotKept(int status, long bytes, String sha256) implements CallOutcome {}

  /** The call ran, and its answer was lost. */
  record AnswerLost() implements CallOutcome {}

  /** The call may or may not have run, and nobody will ever know here. */
  record Unknown() implements CallOutcome {}

  /** Returns the outcome of a call that was answered; a long body is not kept. */
  static CallOutcome answered(int status, String contentType, byte[] body) {
    return body.length <= MAX_BODY_BYTES
        ? new Answered(status, contentType, Bytes.copyOf(body))
        : new BodyNotKept(status, body.length, digest(body));
  }

  private static String digest(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
