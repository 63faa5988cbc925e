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
 * Marks requests that one gateway passes to an endpoint for another, and the failures of that.
 * Stateless and thread safe.
 */
final class RelayHeaders {

  private static final String RELAY_TO = "Cuminwell-Relay-To";

  private RelayHeaders() {}

  /** Returns the request with the address of the endpoint that it is for. */
  static HttpRequest addRelayTarget(HttpRequest request, HostAddress endpoint) {
    return request.addHeader(RawHeader.create(RELAY_TO, endpoint.toString()));
  }

  /** Returns whether the header is a mark. */
  static boolean isRelayTarget(HttpHeader header) {
    return header.is(RELAY_TO.toLowerCase(java.util.Locale.ROOT));
  }

  /**
   * Returns the address of the endpoint that a request is to be passed to.
   *
   * @throws IllegalArgumentException if the mark holds no address
   */
  static Optional<HostAddress> findRelayTarget(HttpRequest request) {
    return request.getHeader(RELAY_TO).map(HttpHeader::value).map(HostAddress::parse);
  }

  /** Returns the answer that tells the other gateway why there is none of the endpoint. */
  static HttpResponse failureResponse(Failure failure) {
    return HttpResponse.create()
        .withStatus(StatusCodes.BAD_GATEWAY)
        .addHeader(RawHeader.create(HttpResponses.VERDICT_HEADER, failure.verdict().label()))
        .withEntity(failure.message());
  }

  /** Returns why a gateway has no answer of the endpoint, if that is what it says. */
  static Optional<Failure> findFailure(HttpResponse response) {
    return response
        .getHeader(HttpResponses.VERDICT_HEADER)
        .map(HttpHeader::value)
        .map(
            label ->
                label.equals(Verdict.notRun().label())
                    ? Failure.notRun(
                        ErrorCode.ENDPOINT_FAILED, "the other region's gateway could not send it")
                    : Failure.mayHaveRun(
                        ErrorCode.ENDPOINT_FAILED, "the other region's gateway got no answer"));
  }
}
