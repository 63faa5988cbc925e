package org.cuminwell.core.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cuminwell.core.model.Bytes;

/** Describes how a claimed call ended, as far as its gateway knows. Immutable and thread safe. */
public sealed interface CallOutcome {

  /** The maximum length of a response body that is kept for replay, in bytes. */
  int MAX_BODY_BYTES = 8 * 1024;

  /** Reports that the call ran and that its response is kept for replay. */
  record Answered(int status, String contentType, Bytes body) implements CallOutcome {

    /** Returns this outcome with the body replaced by its length and digest. */
    public BodyNotKept withoutBody() {
      return new BodyNotKept(status, body.length(), digest(body.toArray()));
    }
  }

  /**
   * Reports that the call ran and was answered, but that the response body is not kept.
   *
   * @param bytes the length of the body, in bytes
   * @param sha256 the SHA-256 digest of the body, in hexadecimal digits
   */
  record BodyNotKept(int status, long bytes, String sha256) implements CallOutcome {}

  /** Reports that the call ran and that its response was lost. */
  record AnswerLost() implements CallOutcome {}

  /** Reports that it is not known whether the call ran. */
  record Unknown() implements CallOutcome {}

  /**
   * Returns the outcome of an answered call, without the body if it is longer than {@link
   * #MAX_BODY_BYTES}.
   */
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
