package org.cuminwell.shell.forward;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.http.HttpResponses;

/**
 * Writes and reads the headers between a gateway and the gateway that relays its requests: the
 * address of the endpoint in a request, and the verdict in a response that reports a failed relay.
 * Stateless and thread safe.
 */
final class RelayHeaders {

  private static final String RELAY_TO = "Cuminwell-Relay-To";

  private RelayHeaders() {}

  /** Returns the request with a header that names the endpoint to relay it to. */
  static HttpRequest addRelayTarget(HttpRequest request, HostAddress endpoint) {
    return request.addHeader(RawHeader.create(RELAY_TO, endpoint.toString()));
  }

  /** Returns whether the header is the one that names the endpoint. */
  static boolean isRelayTarget(HttpHeader header) {
    return header.is(RELAY_TO.toLowerCase(java.util.Locale.ROOT));
  }

  /**
   * Returns the address of the endpoint to relay the request to; empty if it has no such header.
   *
   * @throws IllegalArgumentException if the header holds no valid address
   */
  static Optional<HostAddress> findRelayTarget(HttpRequest request) {
    return request.getHeader(RELAY_TO).map(HttpHeader::value).map(HostAddress::parse);
  }

  /** Builds the response that reports to the requesting gateway why the relay failed. */
  static HttpResponse failureResponse(Failure failure) {
    return HttpResponse.create()
        .withStatus(StatusCodes.BAD_GATEWAY)
        .addHeader(RawHeader.create(HttpResponses.VERDICT_HEADER, failure.verdict().label()))
        .withEntity(failure.message());
  }

  /** Returns the failure that the relaying gateway reports; empty if the endpoint responded. */
  static Optional<Failure> findFailure(HttpResponse response) {
    return response
        .getHeader(HttpResponses.VERDICT_HEADER)
        .map(HttpHeader::value)
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
