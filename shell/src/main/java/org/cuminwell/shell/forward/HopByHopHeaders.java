package org.cuminwell.shell.forward;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.cuminwell.shell.exchange.Header;
import org.cuminwell.shell.exchange.HeaderList;

/**
 * Removes hop-by-hop headers, which apply to a single connection and must not be forwarded.
 * Stateless and thread safe.
 */
public final class HopByHopHeaders {

  /**
   * The names in lower case. Besides the hop-by-hop headers of HTTP these are {@code Expect} and
   * {@code Content-Length}, which follows from the body.
   */
  private static final Set<String> HOP_BY_HOP_NAMES =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopHeaders() {}

  /**
   * Returns the headers without the hop-by-hop ones and those that a {@code Connection} header
   * lists; the order stays.
   */
  public static HeaderList endToEnd(HeaderList headers) {
    Set<String> connectionOptions = new HashSet<>();
    for (Header header : headers) {
      if (header.is("connection")) {
        for (String name : header.value().split(",", -1)) {
          connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    return headers.filter(
        header -> {
          String name = header.name().toLowerCase(Locale.ROOT);
          return !HOP_BY_HOP_NAMES.contains(name) && !connectionOptions.contains(name);
        });
  }
}
