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

/** Makes the answers that all HTTP sides share. Stateless and thread safe. */
public final class HttpResponses {

  /** The header that carries the verdict of a failure. */
  public static final String VERDICT_HEADER = "Cuminwell-Verdict";

  /** The header that carries the id of the request. */
  public static final String REQUEST_ID_HEADER = "Cuminwell-Request-Id";

  /**
   * Says that the connection closes after this answer; the library sends it only in this type, not
   * as a raw header.
   */
  public static final HttpHeader CONNECTION_CLOSE = Connection.create("close");

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private HttpResponses() {}

  /** Returns the answer for a failure, in the error form of the OpenAI interface. */
  public static HttpResponse failure(RequestId id, Failure failure) {
    HttpResponse answer =
        json(failure.code().httpStatus(), errorBody(id, failure))
            .addHeader(RawHeader.create(VERDICT_HEADER, failure.verdict().label()))
            .addHeader(RawHeader.create(REQUEST_ID_HEADER, id.value()));
    return failure
        .retryAfter()
        .map(wait -> answer.addHeader(RawHeader.create("Retry-After", wholeSeconds(wait))))
        .orElse(answer);
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

  /** Returns an answer with a JSON body. */
  public static HttpResponse json(int status, JsonNode body) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(ContentTypes.APPLICATION_JSON, (body + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an answer with a plain text body. */
  public static HttpResponse text(int status, String body) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(ContentTypes.TEXT_PLAIN_UTF8, body);
  }

  private static String wholeSeconds(Duration wait) {
    return Long.toString(Math.max(1, wait.plusMillis(999).toSeconds()));
  }
}
