package org.cuminwell.shell.forward;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.routing.Prompt;
import org.cuminwell.shell.http.HttpResponses;

/**
 * A minimal dialect for tests: forwards requests unchanged, reads the token count from one header
 * and reports verdicts to callers. Stateless and thread safe.
 */
final class PlainDialect implements ForwardDialect {

  static final String HOST = "work.invalid";

  /** The header with the declared token count; every request must have it. */
  static final String TOKENS = "Tokens";

  private static final int FIRST_SERVER_ERROR = 500;

  @Override
  public ForwardRequest parseRequest(RequestId id, HttpRequest request, Instant arrivedAt) {
    long tokens = Long.parseLong(request.getHeader(TOKENS).orElseThrow().value());
    return new ForwardRequest(
        id,
        id.value(),
        HOST,
        request.getUri().path(),
        Optional.empty(),
        arrivedAt,
        Optional.empty(),
        OptionalLong.of(tokens),
        new Prompt(List.of()));
  }

  @Override
  public HttpRequest endpointRequest(
      HttpRequest callerRequest,
      ByteString body,
      ForwardRequest head,
      ForwardAction.Send sendAction,
      Optional<String> lastEventId) {
    HttpRequest to =
        HttpRequest.POST(callerRequest.getUri().path())
            .withEntity(ContentTypes.APPLICATION_JSON, body.toArray());
    return lastEventId.map(id -> to.addHeader(RawHeader.create("Last-Event-Id", id))).orElse(to);
  }

  @Override
  public ResponseHead parseResponseHead(HttpResponse response, ForwardRequest head) {
    int status = response.status().intValue();
    return status >= FIRST_SERVER_ERROR
        ? new ResponseHead.Failed(status)
        : new ResponseHead.Final(status);
  }

  @Override
  public HttpResponse failureResponse(Optional<ForwardRequest> head, Failure failure) {
    return HttpResponse.create()
        .withStatus(failure.code().httpStatus())
        .addHeader(RawHeader.create(HttpResponses.VERDICT_HEADER, failure.verdict().label()))
        .withEntity(failure.message());
  }

  @Override
  public HttpRequest warmUpRequest(int number) {
    throw new UnsupportedOperationException("nothing is warmed up here");
  }

  @Override
  public HttpResponse warmUpResponse(HttpRequest request) {
    throw new UnsupportedOperationException("nothing is warmed up here");
  }

  @Override
  public HttpResponse readinessResponse(HttpRequest request, boolean ready) {
    throw new UnsupportedOperationException("readiness is not asked for here");
  }
}
