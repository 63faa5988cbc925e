package org.cuminwell.shell.forward;

import java.util.List;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;

/**
 * Keeps the target of a request letter for letter, since parsing and printing may change it.
 * Stateless and thread safe.
 */
public final class RawTarget {

  private RawTarget() {}

  /** Returns the header that makes the HTTP library send the target as it came. */
  public static List<HttpHeader> headerOf(HttpRequest request) {
    return request.getHeader(RawRequestURI.class).<HttpHeader>map(h -> h).stream().toList();
  }

  /** Returns the path of the request as it came, without the query. */
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
