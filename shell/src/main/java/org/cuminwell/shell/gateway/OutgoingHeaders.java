package org.cuminwell.shell.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.Query;
import org.apache.pekko.http.javadsl.model.Uri;
import org.apache.pekko.japi.Pair;

/**
 * Chooses the headers and query of a request that an endpoint may see.
 *
 * <p>No endpoint sees a key: headers that carry credentials are dropped by name, and anything that
 * contains the caller's key is dropped whatever its name. Stateless and thread safe.
 */
final class OutgoingHeaders {

  private static final String BEARER = "Bearer ";
  private static final String OWN_PREFIX = "cuminwell-";

  private static final Set<String> CREDENTIALS =
      Set.of("authorization", "proxy-authorization", "cookie", "x-api-key", "api-key");

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "content-length",
          "content-type",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "raw-request-uri",
          "te",
          "timeout-access",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "user-agent");

  private OutgoingHeaders() {}

  /** Returns the key that came with the request. */
  static Optional<String> key(HttpRequest request) {
    return request
        .getHeader("Authorization")
        .map(HttpHeader::value)
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(value -> value.substring(BEARER.length()).trim())
        .filter(key -> !key.isEmpty());
  }

  /** Returns the headers that may be passed on. */
  static List<HttpHeader> headers(HttpRequest request) {
    Optional<String> key = key(request);
    List<HttpHeader> kept = new ArrayList<>();
    for (HttpHeader header : request.getHeaders()) {
      String name = header.name().toLowerCase(Locale.ROOT);
      boolean drop =
          CREDENTIALS.contains(name)
              || HOP_BY_HOP.contains(name)
              || name.startsWith(OWN_PREFIX)
              || holds(header.value(), key);
      if (!drop) {
        kept.add(header);
      }
    }
    return kept;
  }

  /** Returns the query that may be passed on, with its question mark, or nothing. */
  static String query(HttpRequest request) {
    Optional<String> key = key(request);
    List<Pair<String, String>> kept =
        request.getUri().query().toList().stream()
            .filter(pair -> !holds(pair.first(), key) && !holds(pair.second(), key))
            .filter(pair -> !CREDENTIALS.contains(pair.first().toLowerCase(Locale.ROOT)))
            .toList();
    if (kept.isEmpty()) {
      return "";
    }
    return Uri.create("/").query(Query.create(kept)).toString().substring(1);
  }

  private static boolean holds(String text, Optional<String> key) {
    return key.filter(text::contains).isPresent();
  }
}
