package org.cuminwell.shell.forward;

import java.util.Locale;
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
  private static final String REPEATABLE = "Cuminwell-Relay-Repeatable";

  private RelayHeaders() {}

  /**
   * Returns the request with headers that name the endpoint to relay it to, and say whether the
   * request may run more than once. Such headers of the caller are replaced.
   */
  static HttpRequest addRelayTarget(
      HttpRequest request, HostAddress endpoint, boolean isRepeatable) {
    HttpRequest marked =
        request
            .removeHeader(RELAY_TO)
            .removeHeader(REPEATABLE)
            .addHeader(RawHeader.create(RELAY_TO, endpoint.toString()));
    return isRepeatable ? marked.addHeader(RawHeader.create(REPEATABLE, "true")) : marked;
  }

  /** Returns whether the header is meant for the relaying gateway only. */
  static boolean isForRelay(HttpHeader header) {
    return header.is(RELAY_TO.toLowerCase(Locale.ROOT))
        || header.is(REPEATABLE.toLowerCase(Locale.ROOT));
  }

  /** Returns whether the request may run more than once. */
  static boolean isRepeatable(HttpRequest request) {
    return request
        .getHeader(REPEATABLE)
        .filter(header -> header.value().equals("true"))
        .isPresent();
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
