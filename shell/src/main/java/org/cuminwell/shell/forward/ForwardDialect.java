package org.cuminwell.shell.forward;

import java.time.Instant;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Translates between a deployment's HTTP conventions (headers, statuses, error bodies) and the
 * types that {@link org.cuminwell.core.forward.Forwarder} decides on. Implementations are stateless
 * and thread safe.
 */
public interface ForwardDialect {

  /**
   * Parses the head of a caller's request.
   *
   * @throws IllegalArgumentException if a header that the dialect uses is malformed
   */
  ForwardRequest parseRequest(RequestId id, HttpRequest request, Instant arrivedAt);

  /**
   * Builds the request that is sent to an endpoint.
   *
   * @param callerRequest the caller's request, whose entity has been read into {@code body}
   * @param head what was parsed from the caller's request
   * @param sendAction the attempt, with its endpoint and the time left
   * @param lastEventId the id of the last event that the caller received, if the endpoint must
   *     resume the stream after it
   */
  HttpRequest endpointRequest(
      HttpRequest callerRequest,
      ByteString body,
      ForwardRequest head,
      ForwardAction.Send sendAction,
      Optional<String> lastEventId);

  /** Parses the head of an endpoint's response to a request. */
  ResponseHead parseResponseHead(HttpResponse response, ForwardRequest head);

  /**
   * Builds the response that reports a failure to the caller.
   *
   * @param head what was parsed from the request; empty if the request was malformed
   */
  HttpResponse failureResponse(Optional<ForwardRequest> head, Failure failure);

  /** Builds a request like a caller's for {@link WarmUp}, distinguished by its number. */
  HttpRequest warmUpRequest(int number);

  /** Builds the response of an endpoint to a request of {@link #warmUpRequest}. */
  HttpResponse warmUpResponse(HttpRequest request);

  /** Builds the response to a probe at the readiness address. */
  HttpResponse readinessResponse(HttpRequest request, boolean ready);
}
