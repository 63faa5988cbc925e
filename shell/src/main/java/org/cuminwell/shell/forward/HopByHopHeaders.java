package org.cuminwell.shell.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;

/**
 * Tells headers that concern one connection from those that go from end to end. Stateless and
 * thread safe.
 */
public final class HopByHopHeaders {

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

  /** Returns the headers that are to be passed on, in their order. */
  public static List<HttpHeader> endToEnd(Iterable<HttpHeader> headers) {
    Set<String> named = new HashSet<>();
    for (HttpHeader header : headers) {
      if (header.is("connection")) {
        for (String name : header.value().split(",", -1)) {
          named.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<HttpHeader> kept = new ArrayList<>();
    for (HttpHeader header : headers) {
      String name = header.lowercaseName();
      if (!HOP_BY_HOP_NAMES.contains(name) && !named.contains(name)) {
        kept.add(header);
      }
    }
    return kept;
  }
}
