package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminwell.core.forward.ForwardLogEvent;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests endpoints that send bytes without end: instead of a valid head, body or event stream, or
 * after a valid response.
 *
 * <p>The gateway must close such a connection, never pass an incomplete response on as complete and
 * never report the request as not run. It reads a bounded number of bytes of a head, of an event
 * stream and after a response.
 */
@Timeout(60)
final class EndlessBytesTest {

  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String LENGTH_HEAD = STATUS_LINE + "Content-Length: 2\r\n\r\n";
  private static final String CHUNKED_HEAD = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT_STREAM_HEAD =
      STATUS_LINE + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String WHOLE_BODY = "{}";
  private static final Script WHOLE_RESPONSE = x -> x.write(LENGTH_HEAD + WHOLE_BODY);
  private static final Script LAST_EVENT = x -> x.write(EVENT_STREAM_HEAD + "id: 3\ndata: c\n\n");

  /** The maximum of bytes read for a head, with the buffers of both sockets. */
  private static final long MAX_HEAD_BYTES = 16L * 1024 * 1024;

  /** The maximum of bytes read while interim responses are skipped. */
  private static final long MAX_INTERIM_BYTES = 256L * 1024 * 1024;

  private static final int TOKENS = 100;

  /** A response that starts with {@code first} and then repeats {@code repeated} without end. */
  record EndlessResponse(String name, String first, String repeated) {
    @Override
    public String toString() {
      return name;
    }

    Script script() {
      return x -> {
        x.write(first);
        x.writeForEver(repeated);
      };
    }
  }

  /** An endless response and whether it passes a relay gateway. */
  record Case(EndlessResponse endless, boolean relayed) {
    @Override
    public String toString() {
      return endless + (relayed ? ", over a gateway of its region" : "");
    }
  }

  static Stream<Case> heads() {
    return directAndRelayed(
        new EndlessResponse("no status line", "", "x"),
        new EndlessResponse("binary", "", "\0"),
        new EndlessResponse("empty lines", "", "\r\n"),
        new EndlessResponse("a status line without end", "HTTP/1.1 200 ", "x"),
        new EndlessResponse("a header name without end", STATUS_LINE, "x"),
        new EndlessResponse("a header without end", STATUS_LINE + "X: ", "y"),
        new EndlessResponse("a folded header without end", STATUS_LINE + "X: y\r\n", " y\r\n"),
        new EndlessResponse("headers without end", STATUS_LINE, "X: y\r\n"),
        new EndlessResponse("interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        new EndlessResponse("early hints without end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"));
  }

  static Stream<Case> bodies() {
    return directAndRelayed(
        new EndlessResponse("a chunk size without end", CHUNKED_HEAD, "0"),
        new EndlessResponse("a chunk extension without end", CHUNKED_HEAD + "1;", "x"),
        new EndlessResponse("no chunk", CHUNKED_HEAD, "x"),
        new EndlessResponse("chunks without end", CHUNKED_HEAD, "1\r\nx\r\n"),
        new EndlessResponse("trailers without end", CHUNKED_HEAD + "0\r\n", "X: y\r\n"),
        new EndlessResponse("a trailer without end", CHUNKED_HEAD + "0\r\nX: ", "y"),
        new EndlessResponse(
            "a body without length", STATUS_LINE + "Connection: close\r\n\r\n", "x"));
  }

  static Stream<Case> streams() {
    return directAndRelayed(
        new EndlessResponse(
            "an event without end", EVENT_STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\ndata: ", "x"),
        new EndlessResponse(
            "lines of an event without end", EVENT_STREAM_HEAD + "id: 1\ndata: a\n\n", "data: x\n"),
        new EndlessResponse(
            "comments without end", EVENT_STREAM_HEAD + "id: 1\ndata: a\n\n", ": x\n"),
        new EndlessResponse(
            "events that nobody asked for", EVENT_STREAM_HEAD, "id: 1\ndata: a\n\n"),
        new EndlessResponse("empty events", EVENT_STREAM_HEAD + "id: 1\ndata: a\n\n", "\n\n"));
  }

  static Stream<Case> extraBytes() {
    return directAndRelayed(
        new EndlessResponse(
            "bytes after a response of known length", LENGTH_HEAD + WHOLE_BODY, "x"),
        new EndlessResponse(
            "responses after a response", LENGTH_HEAD + WHOLE_BODY, LENGTH_HEAD + WHOLE_BODY),
        new EndlessResponse(
            "bytes after the last chunk", CHUNKED_HEAD + "2\r\n{}\r\n0\r\n\r\n", "x"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("heads")
  void endlessHeadIsRetriedWithAnotherAttempt(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script(), WHOLE_RESPONSE));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      HttpResponse<InputStream> response = forward.send(TOKENS);

      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body().readAllBytes()).asString().isEqualTo(WHOLE_BODY);
      assertThat(endpoint.exchanges).hasSize(2);
      assertClosedAndFailureRecorded(endpoint, forward);
      assertThat(endpoint.endlessBytes.get()).isLessThan(maxBytes(c));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("heads")
  void endlessHeadIsReportedAsMayHaveRun(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.AtMostOnce(), c.relayed())) {
      HttpResponse<InputStream> response = forward.send(TOKENS);

      assertThat(response.statusCode()).isIn(502, 504);
      assertThat(response.headers().firstValue("Cuminwell-Verdict")).contains("may_have_run");
      assertThat(endpoint.exchanges).hasSize(1);
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("bodies")
  void endlessBodyIsNeverPassedOnAsComplete(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      assertThat(isComplete(forward.send(TOKENS))).isFalse();
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("streams")
  void endlessStreamIsNeverPassedOnAsComplete(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.ResumableStream(), c.relayed())) {
      assertThat(isComplete(forward.send(TOKENS))).isFalse();
      assertClosedAndFailureRecorded(endpoint, forward);
      assertThat(endpoint.endlessBytes.get()).isLessThan(MAX_HEAD_BYTES * 3);
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("streams")
  void endlessStreamIsResumedOnAnotherEndpoint(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script(), LAST_EVENT));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.ResumableStream(), c.relayed())) {
      boolean complete = isComplete(forward.send(TOKENS));

      boolean overlong = c.endless().name().equals("events that nobody asked for");
      assertThat(complete).isEqualTo(!overlong);
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("extraBytes")
  void bytesAfterResponseCloseTheConnection(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      HttpResponse<InputStream> response = forward.send(TOKENS);

      assertThat(response.body().readAllBytes()).asString().isEqualTo(WHOLE_BODY);
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(endpoint.endlessBytes.get()).isLessThan(MAX_HEAD_BYTES);
    }
  }

  /** Asserts that the connection was closed and the failure logged, but not as not run. */
  private static void assertClosedAndFailureRecorded(FakeEndpoint endpoint, ForwardFixture forward)
      throws InterruptedException {
    assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    assertThat(forward.failures).isNotEmpty();
    ForwardLogEvent.AttemptFailed first = forward.failures.getFirst();
    assertThat(first.failure().verdict()).isNotEqualTo(Verdict.notRun());
    assertThat(first.failure().message()).isNotBlank();
  }

  /** Interim responses are skipped until the first-byte timeout, so they may be more bytes. */
  private static long maxBytes(Case c) {
    boolean skipped = c.endless().repeated().startsWith("HTTP/1.1 1");
    return skipped ? MAX_INTERIM_BYTES : MAX_HEAD_BYTES;
  }

  /** Reads the body and returns whether it was whole and the status 200. */
  private static boolean isComplete(HttpResponse<InputStream> response) {
    try (InputStream body = response.body()) {
      body.transferTo(java.io.OutputStream.nullOutputStream());
      return response.statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns each response twice, with and without a relay. */
  private static Stream<Case> directAndRelayed(EndlessResponse... endlessResponse) {
    return Stream.of(true, false)
        .flatMap(relayed -> Stream.of(endlessResponse).map(e -> new Case(e, relayed)));
  }
}
