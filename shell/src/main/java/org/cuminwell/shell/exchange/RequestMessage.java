package org.cuminwell.shell.exchange;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
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

  /** Returns the target's path with its escapes decoded. */
  public String decodedPath() {
    return new QueryStringDecoder(target).path();
  }

  /**
   * Returns the first value of a parameter of the query, with its escapes decoded.
   *
   * @throws IllegalArgumentException if an escape is malformed
   */
  public Optional<String> queryParameter(String name) {
    List<String> values = new QueryStringDecoder(target).parameters().get(name);
    return values == null ? Optional.empty() : Optional.of(values.getFirst());
  }

  /** Returns the same request with other headers. */
  public RequestMessage withHeaders(HeaderList other) {
    return new RequestMessage(method, target, other, body);
  }
}
