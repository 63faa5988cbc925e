package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.exchange.Header;
import org.cuminwell.shell.exchange.HeaderList;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.http.HttpResponses;

/**
 * Writes and reads the headers between a gateway and the gateway that relays its requests: the
 * address of the endpoint in a request, and the verdict in a response that reports a failed relay.
 * Stateless and thread safe.
 */
final class RelayHeaders {

  private static final String RELAY_TO = "Cuminwell-Relay-To";
  private static final String REPEATABLE = "Cuminwell-Relay-Repeatable";
  private static final String ENDPOINT = "Cuminwell-Relay-Endpoint";
  private static final String INCARNATION = "Cuminwell-Relay-Incarnation";
  private static final String LEAVING = "Cuminwell-Relay-Leaving";
  private static final int BAD_GATEWAY = 502;

  private static final Failure ENDPOINT_LEAVING =
      Failure.notRun(ErrorCode.NO_ENDPOINT, "the endpoint leaves; choose another one");

  private RelayHeaders() {}

  /**
   * Returns the request with headers that name the endpoint to relay it to, and say whether the
   * request may run more than once. Such headers of the caller are replaced.
   */
  static RequestMessage addRelayTarget(RequestMessage request, ForwardAction.Send sendAction) {
    HeaderList marked =
        request
            .headers()
            .filter(header -> !isForRelay(header))
            .with(RELAY_TO, sendAction.address().toString())
            .with(ENDPOINT, sendAction.endpoint().value())
            .with(INCARNATION, Long.toString(sendAction.incarnation()));
    return request.withHeaders(
        sendAction.isRepeatable() ? marked.with(REPEATABLE, "true") : marked);
  }

  /** Returns whether the header is meant for the relaying gateway only. */
  static boolean isForRelay(Header header) {
    return header.is(RELAY_TO)
        || header.is(REPEATABLE)
        || header.is(ENDPOINT)
        || header.is(INCARNATION);
  }

  /**
   * Returns the endpoint that the request is meant for; empty if the sender's build does not name
   * it.
   *
   * @throws IllegalArgumentException if a header is malformed
   */
  static Optional<EndpointIncarnation> findEndpoint(RequestMessage request) {
    return request
        .headers()
        .first(INCARNATION)
        .flatMap(
            incarnation ->
                request
                    .headers()
                    .first(ENDPOINT)
                    .map(
                        id ->
                            new EndpointIncarnation(
                                new EndpointId(id), Long.parseLong(incarnation))));
  }

  /** Returns whether the request may run more than once. */
  static boolean isRepeatable(RequestMessage request) {
    return request.headers().first(REPEATABLE).filter(value -> value.equals("true")).isPresent();
  }

  /**
   * Returns the address of the endpoint to relay the request to; empty if it has no such header.
   *
   * @throws IllegalArgumentException if the header holds no valid address
   */
  static Optional<HostAddress> findRelayTarget(RequestMessage request) {
    return request.headers().first(RELAY_TO).map(HostAddress::parse);
  }

  /** Builds the response that reports to the requesting gateway why the relay failed. */
  static ResponseMessage failureResponse(Failure failure) {
    return ResponseMessage.text(BAD_GATEWAY, failure.message())
        .withHeader(HttpResponses.VERDICT_HEADER, failure.verdict().label());
  }

  /** Builds the response to a request for an endpoint that has said that it leaves. */
  static ResponseMessage leavingResponse() {
    return failureResponse(ENDPOINT_LEAVING).withHeader(LEAVING, "true");
  }

  /** Returns whether the relaying gateway says that the endpoint leaves. */
  static boolean saysLeaving(ResponseStart response) {
    return response.headers().contains(LEAVING);
  }

  /** Returns the failure that the relaying gateway reports; empty if the endpoint responded. */
  static Optional<Failure> findFailure(ResponseStart response) {
    return response
        .headers()
        .first(HttpResponses.VERDICT_HEADER)
        .map(
            label ->
                label.equals(Verdict.notRun().label())
                    ? Failure.notRun(
                        ErrorCode.ENDPOINT_FAILED,
                        "the relaying gateway could not send the request")
                    : Failure.mayHaveRun(
                        ErrorCode.ENDPOINT_FAILED, "the relaying gateway got no response"));
  }
}
