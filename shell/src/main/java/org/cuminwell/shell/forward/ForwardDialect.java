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
 * Translates between the HTTP that callers and endpoints of a deployment speak and what decisions
 * are made about. Implementations hold no state and are thread safe.
 */
public interface ForwardDialect {

  /**
   * Returns what the headers of a request tell.
   *
   * @throws IllegalArgumentException if a header that matters can't be understood
   */
  ForwardRequest parseRequest(RequestId id, HttpRequest request, Instant arrivedAt);

  /**
   * Returns the request as the endpoint gets it.
   *
   * @param lastEventId the last event that the caller got, if the endpoint is to go on after it
   */
  HttpRequest endpointRequest(
      HttpRequest from,
      ByteString body,
      ForwardRequest head,
      ForwardAction.Send order,
      Optional<String> lastEventId);

  /** Returns what the headers of an endpoint's answer tell. */
  ResponseHead parseResponseHead(HttpResponse answer, ForwardRequest head);

  /** Returns the answer that carries a failure. */
  HttpResponse failureResponse(Optional<ForwardRequest> head, Failure failure);

  /** Returns a request as callers send it, for {@link WarmUp}; the number tells them apart. */
  HttpRequest warmUpRequest(int number);

  /** Returns the answer of an endpoint to a request of {@link #warmUpRequest}. */
  HttpResponse warmUpResponse(HttpRequest request);

  /** Returns the answer to a question at the readiness address. */
  HttpResponse readinessResponse(HttpRequest request, boolean ready);
}
