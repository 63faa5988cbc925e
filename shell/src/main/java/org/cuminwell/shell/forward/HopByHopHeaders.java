package org.cuminwell.shell.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;

/**
 * Removes hop-by-hop headers, which apply to a single connection and must not be forwarded.
 * Stateless and thread safe.
 */
public final class HopByHopHeaders {

  /**
   * The names in lower case. Besides the hop-by-hop headers of HTTP these are {@code Expect}, the
   * content headers that the library renders from the entity, and two headers that the library adds
   * to incoming requests ({@code Raw-Request-URI}, {@code Timeout-Access}).
   */
  private static final Set<String> HOP_BY_HOP_NAMES =
      Set.of(
          "connection",
          "content-length",
          "content-type",
          "expect",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "raw-request-uri",
          "te",
          "timeout-access",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopHeaders() {}

  /**
   * Returns the headers without the hop-by-hop ones and those that a {@code Connection} header
   * lists; the order stays.
   */
  public static List<HttpHeader> endToEnd(Iterable<HttpHeader> headers) {
    Set<String> connectionOptions = new HashSet<>();
    for (HttpHeader header : headers) {
      if (header.is("connection")) {
        for (String name : header.value().split(",", -1)) {
          connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<HttpHeader> kept = new ArrayList<>();
    for (HttpHeader header : headers) {
      String name = header.lowercaseName();
      if (!HOP_BY_HOP_NAMES.contains(name) && !connectionOptions.contains(name)) {
        kept.add(header);
      }
    }
    return kept;
  }
}
