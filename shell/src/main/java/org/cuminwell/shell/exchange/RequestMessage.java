package org.cuminwell.shell.exchange;

import java.util.Optional;

/**
 * Holds a whole request. Thread safe, as nobody changes the body.
 *
 * @param target the request target exactly as it was received
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
public record RequestMessage(String method, String target, HeaderList headers, byte[] body) {

  private static final byte[] NO_BODY = {};

  /** Returns a request without a body. */
  public static RequestMessage get(String target) {
    return new RequestMessage("GET", target, HeaderList.of(), NO_BODY);
  }

  /** Returns the target without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the query, if there is one. */
  public Optional<String> query() {
    int query = target.indexOf('?');
    return query < 0 ? Optional.empty() : Optional.of(target.substring(query + 1));
  }

  /** Returns the same request with other headers. */
  public RequestMessage withHeaders(HeaderList other) {
    return new RequestMessage(method, target, other, body);
  }
}
