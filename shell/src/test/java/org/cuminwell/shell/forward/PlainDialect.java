package org.cuminwell.shell.forward;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.routing.Prompt;
import org.cuminwell.shell.exchange.HeaderList;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.http.HttpResponses;

/**
 * A minimal dialect for tests: forwards requests unchanged, reads the token count from one header
 * and reports verdicts to callers. Stateless and thread safe.
 */
final class PlainDialect implements ForwardDialect {

  static final String HOST = "work.invalid";

  /** The header with the declared token count; every request must have it. */
  static final String TOKENS = "Tokens";

  /** The header by which an endpoint says that it leaves. */
  static final String LEAVING = "Leaving";

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;

  @Override
  public ForwardRequest parseRequest(RequestId id, RequestMessage request, Instant arrivedAt) {
    long tokens = Long.parseLong(request.headers().first(TOKENS).orElseThrow());
    return new ForwardRequest(
        id,
        id.value(),
        HOST,
        request.path(),
        Optional.empty(),
        arrivedAt,
        Optional.empty(),
        OptionalLong.of(tokens),
        new Prompt(List.of()));
  }

  @Override
  public RequestMessage endpointRequest(
      RequestMessage callerRequest,
      ForwardRequest head,
      ForwardAction.Send sendAction,
      Optional<String> lastEventId) {
    HeaderList headers = HeaderList.of("Content-Type", "application/json");
    return new RequestMessage(
        "POST",
        callerRequest.path(),
        lastEventId.map(id -> headers.with("Last-Event-Id", id)).orElse(headers),
        callerRequest.body());
  }

  @Override
  public ResponseHead parseResponseHead(ResponseStart response, ForwardRequest head) {
    if (response.status() == UNAVAILABLE) {
      return new ResponseHead.UnconfirmedRefusal(UNAVAILABLE);
    }
    return response.status() >= FIRST_SERVER_ERROR
        ? new ResponseHead.Failed(response.status())
        : new ResponseHead.Final(response.status());
  }

  @Override
  public boolean saysLeaving(ResponseStart response) {
    return response.headers().contains(LEAVING);
  }

  @Override
  public ResponseStart hideRefusal(ResponseStart response) {
    return response.withStatus(BAD_GATEWAY);
  }

  @Override
  public ResponseMessage failureResponse(Optional<ForwardRequest> head, Failure failure) {
    return ResponseMessage.text(failure.code().httpStatus(), failure.message())
        .withHeader(HttpResponses.VERDICT_HEADER, failure.verdict().label());
  }

  @Override
  public RequestMessage warmUpRequest(int number) {
    throw new UnsupportedOperationException("nothing is warmed up here");
  }

  @Override
  public ResponseMessage warmUpResponse(RequestMessage request) {
    throw new UnsupportedOperationException("nothing is warmed up here");
  }

  @Override
  public ResponseMessage readinessResponse(RequestMessage request, boolean ready) {
    throw new UnsupportedOperationException("readiness is not asked for here");
  }
}
