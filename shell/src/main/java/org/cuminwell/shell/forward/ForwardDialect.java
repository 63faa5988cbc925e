package org.cuminwell.shell.forward;

import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;

/**
 * Translates between a deployment's HTTP conventions (headers, statuses, error bodies) and the
 * types that {@link org.cuminwell.core.forward.Forwarder} decides on. Implementations are stateless
 * and thread safe.
 */
public interface ForwardDialect {

  /**
   * Parses a caller's request.
   *
   * @throws IllegalArgumentException if a header that the dialect uses is malformed
   */
  ForwardRequest parseRequest(RequestId id, RequestMessage request, Instant arrivedAt);

  /**
   * Builds the request that is sent to an endpoint.
   *
   * @param callerRequest the caller's request
   * @param head what was parsed from the caller's request
   * @param sendAction the attempt, with its endpoint and the time left
   * @param lastEventId the id of the last event that the caller received, if the endpoint must
   *     resume the stream after it
   */
  RequestMessage endpointRequest(
      RequestMessage callerRequest,
      ForwardRequest head,
      ForwardAction.Send sendAction,
      Optional<String> lastEventId);

  /** Parses the head of an endpoint's response to a request. */
  ResponseHead parseResponseHead(ResponseStart response, ForwardRequest head);

  /** Returns whether the endpoint that sent the response says that it leaves. */
  boolean saysLeaving(ResponseStart response);

  /**
   * Returns the response head with a status that does not say that the request has not run, without
   * an invitation to send it again, and without a signature, which vouches for the old status.
   */
  ResponseStart hideRefusal(ResponseStart response);

  /**
   * Builds the response that reports a failure to the caller.
   *
   * @param head what was parsed from the request; empty if the request was malformed
   */
  ResponseMessage failureResponse(Optional<ForwardRequest> head, Failure failure);

  /** Builds a request like a caller's for {@link WarmUp}, distinguished by its number. */
  RequestMessage warmUpRequest(int number);

  /**
   * Builds the response of an endpoint to a request of {@link #warmUpRequest}; {@link WarmUp} sends
   * the body of one that is an event stream in parts.
   */
  ResponseMessage warmUpResponse(RequestMessage request);

  /** Builds the response to a probe at the readiness address. */
  ResponseMessage readinessResponse(RequestMessage request, boolean ready);
}
