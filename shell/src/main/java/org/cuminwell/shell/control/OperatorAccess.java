package org.cuminwell.shell.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Names;

/**
 * Authenticates operators by the name and token in their HTTP requests.
 *
 * <p>The scheme is HTTP Basic because browsers send it for event streams too. Tokens are stored as
 * hashes and compared in constant time. Immutable and thread safe.
 */
public final class OperatorAccess {

  private static final String BASIC = "Basic ";

  private final Optional<Map<String, KeyHash>> tokenHashes;

  private OperatorAccess(Optional<Map<String, KeyHash>> tokens) {
    this.tokenHashes = tokens;
  }

  /** Returns access that allows every request without credentials. */
  public static OperatorAccess unrestricted() {
    return new OperatorAccess(Optional.empty());
  }

  /**
   * Reads the operators from a file of lines {@code NAME SHA256}, where the second word is the hash
   * of the operator's token. Lines that begin with {@code #} are comments.
   *
   * @throws IOException if the file can't be read or a line is invalid; the message names the line
   */
  public static OperatorAccess read(Path file) throws IOException {
    Map<String, KeyHash> tokenHashes = new HashMap<>();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      if (!line.isBlank() && !line.startsWith("#")) {
        addOperator(tokenHashes, file, lineNumber, line.strip().split("\\s+"));
      }
    }
    return new OperatorAccess(Optional.of(Map.copyOf(tokenHashes)));
  }

  /** Returns whether access is unrestricted or the request carries valid operator credentials. */
  boolean allows(HttpRequest request) {
    return tokenHashes.isEmpty() || findOperator(request).isPresent();
  }

  /** Returns the name of the operator whose valid credentials the request carries, if any. */
  Optional<String> findOperator(HttpRequest request) {
    return request
        .getHeader("Authorization")
        .map(HttpHeader::value)
        .filter(value -> value.regionMatches(true, 0, BASIC, 0, BASIC.length()))
        .flatMap(value -> decode(value.substring(BASIC.length()).strip()))
        .flatMap(this::findOperatorName);
  }

  private Optional<String> findOperatorName(String credentials) {
    int colon = credentials.indexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String name = credentials.substring(0, colon);
    KeyHash tokenHash = KeyHash.of(credentials.substring(colon + 1));
    return tokenHashes
        .map(hashesByName -> hashesByName.get(name))
        .filter(tokenHash::equals)
        .map(_ -> name);
  }

  private static Optional<String> decode(String base64) {
    try {
      return Optional.of(new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void addOperator(
      Map<String, KeyHash> tokenHashes, Path file, int lineNumber, String[] words)
      throws IOException {
    try {
      if (words.length != 2) {
        throw new IllegalArgumentException("must be a name and the SHA-256 hash of a token");
      }
      tokenHashes.put(Names.requireName(words[0], "operator"), new KeyHash(words[1]));
    } catch (IllegalArgumentException e) {
      throw new IOException(file + " line " + lineNumber + ": " + e.getMessage(), e);
    }
  }
}
