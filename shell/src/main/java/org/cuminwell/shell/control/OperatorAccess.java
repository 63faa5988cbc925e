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
 * Knows who may operate the system.
 *
 * <p>Operators prove themselves by HTTP Basic, which browsers send for event streams too. Tokens
 * are kept as hashes and compared in constant time. Immutable and thread safe.
 */
public final class OperatorAccess {

  private static final String BASIC = "Basic ";

  private final Optional<Map<String, KeyHash>> tokens;

  private OperatorAccess(Optional<Map<String, KeyHash>> tokens) {
    this.tokens = tokens;
  }

  /** Returns access for anyone who reaches the address. */
  public static OperatorAccess open() {
    return new OperatorAccess(Optional.empty());
  }

  /**
   * Returns access for the operators in a file of lines {@code NAME SHA256}, where the second word
   * is the hash of the operator's token. Lines that begin with {@code #} are comments.
   *
   * @throws IOException if the file can't be read or a line is wrong; the message names the line
   */
  public static OperatorAccess read(Path file) throws IOException {
    Map<String, KeyHash> tokens = new HashMap<>();
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      if (!line.isBlank() && !line.startsWith("#")) {
        add(tokens, file, number, line.strip().split("\\s+"));
      }
    }
    return new OperatorAccess(Optional.of(Map.copyOf(tokens)));
  }

  /** Returns whether the request comes from an operator. */
  boolean allows(HttpRequest request) {
    return tokens.isEmpty() || operator(request).isPresent();
  }

  /** Returns the name of the operator that the request proves. */
  Optional<String> operator(HttpRequest request) {
    return request
        .getHeader("Authorization")
        .map(HttpHeader::value)
        .filter(value -> value.regionMatches(true, 0, BASIC, 0, BASIC.length()))
        .flatMap(value -> decode(value.substring(BASIC.length()).strip()))
        .flatMap(this::nameOf);
  }

  private Optional<String> nameOf(String credentials) {
    int colon = credentials.indexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String name = credentials.substring(0, colon);
    KeyHash given = KeyHash.of(credentials.substring(colon + 1));
    return tokens.map(known -> known.get(name)).filter(given::equals).map(_ -> name);
  }

  private static Optional<String> decode(String base64) {
    try {
      return Optional.of(new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void add(Map<String, KeyHash> tokens, Path file, int number, String[] words)
      throws IOException {
    try {
      if (words.length != 2) {
        throw new IllegalArgumentException("must be a name and the SHA-256 hash of a token");
      }
      tokens.put(Names.requireName(words[0], "operator"), new KeyHash(words[1]));
    } catch (IllegalArgumentException e) {
      throw new IOException(file + " line " + number + ": " + e.getMessage(), e);
    }
  }
}
