package org.cuminwell.core.crash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.PromptPart;

/**
 * Identifies a property of requests that may crash every endpoint of a service that begins to
 * respond to one.
 *
 * <p>Only a digest is held, so that traits may be sent to regions that the prompt itself must not
 * reach. Immutable and thread safe.
 */
public sealed interface Trait {

  /** Returns the first 64 bits of a SHA-256 digest of the property and the service. */
  long digest();

  /** Identifies requests that are equal in customer, target, prompt and body. */
  record Content(long digest) implements Trait {}

  /** Identifies requests whose prompts share a part. */
  record SharedPart(long digest) implements Trait {}

  /** Returns the trait of all requests to the service whose prompts share the part. */
  static Trait ofSharedPart(String service, PromptPart part) {
    return new SharedPart(digest(List.of("part", service, part.id())));
  }

  /**
   * Returns the trait of all requests to the service with this content.
   *
   * @param target the host and path
   * @param contentHash a hash of the method, the query and the body
   */
  static Trait ofContent(
      String service,
      Optional<CustomerId> customer,
      String target,
      List<PromptPart> prompt,
      long contentHash) {
    return new Content(
        digest(
            List.of(
                "content",
                service,
                customer.map(CustomerId::value).orElse(""),
                target,
                prompt.toString(),
                Long.toHexString(contentHash))));
  }

  /** Returns the digest as hexadecimal digits, as it appears in logs. */
  default String label() {
    return HexFormat.of().toHexDigits(digest());
  }

  private static long digest(List<String> fields) {
    MessageDigest sha256 = sha256();
    for (String field : fields) {
      byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
      sha256.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
      sha256.update(bytes);
    }
    return HexFormat.fromHexDigitsToLong(HexFormat.of().formatHex(sha256.digest(), 0, Long.BYTES));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
