package org.cuminwell.shell.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/** Builds the HTTP responses that the front ends share. Stateless and thread safe. */
public final class HttpResponses {

  /** The header that carries the verdict of a failure. */
  public static final String VERDICT_HEADER = "Cuminwell-Verdict";

  /** The header that carries the id of the request. */
  public static final String REQUEST_ID_HEADER = "Cuminwell-Request-Id";

  /**
   * Announces that the connection closes after the response. The library sends it only as this
   * type, not as a raw header.
   */
  public static final HttpHeader CONNECTION_CLOSE = Connection.create("close");

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private HttpResponses() {}

  /** Returns the response for a failure, with an error body as the OpenAI API has it. */
  public static HttpResponse failure(RequestId id, Failure failure) {
    HttpResponse response =
        json(failure.code().httpStatus(), errorBody(id, failure))
            .addHeader(RawHeader.create(VERDICT_HEADER, failure.verdict().label()))
            .addHeader(RawHeader.create(REQUEST_ID_HEADER, id.value()));
    return failure
        .retryAfter()
        .map(wait -> response.addHeader(RawHeader.create("Retry-After", wholeSeconds(wait))))
        .orElse(response);
  }

  /** Returns the JSON error object for a failure. */
  public static ObjectNode errorBody(RequestId id, Failure failure) {
    ObjectNode root = MAPPER.createObjectNode();
    root.putObject("error")
        .put("message", failure.message())
        .put("type", failure.code().httpStatus() < 500 ? "invalid_request_error" : "server_error")
        .put("code", failure.code().label())
        .put("request_id", id.value())
        .put("verdict", failure.verdict().label());
    return root;
  }

  /** Returns a response with a JSON body and a final newline. */
  public static HttpResponse json(int status, JsonNode body) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(ContentTypes.APPLICATION_JSON, (body + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a plain text body. */
  public static HttpResponse text(int status, String body) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(ContentTypes.TEXT_PLAIN_UTF8, body);
  }

  /** Returns the duration in seconds, rounded up and at least 1. */
  private static String wholeSeconds(Duration wait) {
    return Long.toString(Math.max(1, wait.plusMillis(999).toSeconds()));
  }
}
