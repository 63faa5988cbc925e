package org.cuminwell.shell.forward;

import java.util.List;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;

/**
 * Reads the request target exactly as it was received, since the library's parsing and rendering of
 * a URI may change it. Stateless and thread safe.
 */
public final class RawTarget {

  private RawTarget() {}

  /**
   * Returns the library's header with the target as received; added to an outgoing request it makes
   * the library send that target unchanged. Empty if the request has none.
   */
  public static List<HttpHeader> headerOf(HttpRequest request) {
    return request.getHeader(RawRequestURI.class).<HttpHeader>map(h -> h).stream().toList();
  }

  /** Returns the path of the request as received, without the query. */
  public static String path(HttpRequest request) {
    String target =
        request
            .getHeader(RawRequestURI.class)
            .map(RawRequestURI::uri)
            .orElseGet(() -> request.getUri().getPathString());
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
