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

/** Holds what becomes of requests whose endpoint sends without end what is no answer. */
@Timeout(60)
final class EndlessBytesTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String LENGTH_HEAD = HEAD + "Content-Length: 2\r\n\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENTS =
      HEAD + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String WHOLE = "{}";
  private static final Script WHOLE_ANSWER = x -> x.write(LENGTH_HEAD + WHOLE);
  private static final Script LAST_EVENT = x -> x.write(EVENTS + "id: 3\ndata: c\n\n");

  /** The most that may be taken of a head, the buffers of both sockets included, in bytes. */
  private static final long MOST_HEAD_BYTES = 16L * 1024 * 1024;

  private static final long MOST_SKIPPED_BYTES = 256L * 1024 * 1024;
  private static final int TOKENS = 100;

  /** Says what an endpoint sends before what it repeats without end. */
  record Endless(String name, String first, String repeated) {
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

  /** Adds over how many gateways the endpoint is reached. */
  record Case(Endless endless, boolean relayed) {
    @Override
    public String toString() {
      return endless + (relayed ? ", over a gateway of its region" : "");
    }
  }

  static Stream<Case> heads() {
    return direct(
        new Endless("no status line", "", "x"),
        new Endless("binary", "", "\0"),
        new Endless("empty lines", "", "\r\n"),
        new Endless("a status line without end", "HTTP/1.1 200 ", "x"),
        new Endless("a header name without end", HEAD, "x"),
        new Endless("a header without end", HEAD + "X: ", "y"),
        new Endless("a folded header without end", HEAD + "X: y\r\n", " y\r\n"),
        new Endless("headers without end", HEAD, "X: y\r\n"),
        new Endless("interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        new Endless("early hints without end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"));
  }

  static Stream<Case> bodies() {
    return direct(
        new Endless("a chunk size without end", CHUNKED, "0"),
        new Endless("a chunk extension without end", CHUNKED + "1;", "x"),
        new Endless("no chunk", CHUNKED, "x"),
        new Endless("chunks without end", CHUNKED, "1\r\nx\r\n"),
        new Endless("trailers without end", CHUNKED + "0\r\n", "X: y\r\n"),
        new Endless("a trailer without end", CHUNKED + "0\r\nX: ", "y"),
        new Endless("a body without length", HEAD + "Connection: close\r\n\r\n", "x"));
  }

  static Stream<Case> streams() {
    return direct(
        new Endless("an event without end", EVENTS + "id: 1\ndata: a\n\nid: 2\ndata: ", "x"),
        new Endless("lines of an event without end", EVENTS + "id: 1\ndata: a\n\n", "data: x\n"),
        new Endless("comments without end", EVENTS + "id: 1\ndata: a\n\n", ": x\n"),
        new Endless("events that nobody asked for", EVENTS, "id: 1\ndata: a\n\n"),
        new Endless("empty events", EVENTS + "id: 1\ndata: a\n\n", "\n\n"));
  }

  static Stream<Case> afterwards() {
    return direct(
        new Endless("bytes after an answer of known length", LENGTH_HEAD + WHOLE, "x"),
        new Endless("answers after an answer", LENGTH_HEAD + WHOLE, LENGTH_HEAD + WHOLE),
        new Endless("bytes after the last chunk", CHUNKED + "2\r\n{}\r\n0\r\n\r\n", "x"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("heads")
  void headWithoutEndLeavesRoomForAnotherAttempt(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script(), WHOLE_ANSWER));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      HttpResponse<InputStream> answer = forward.send(TOKENS);

      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body().readAllBytes()).asString().isEqualTo(WHOLE);
      assertThat(endpoint.exchanges).hasSize(2);
      assertIsClosedAndBlamed(endpoint, forward);
      assertThat(endpoint.endlessBytes.get()).isLessThan(mostBytes(c));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("heads")
  void headWithoutEndIsNotSaidNotToHaveRun(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.AtMostOnce(), c.relayed())) {
      HttpResponse<InputStream> answer = forward.send(TOKENS);

      assertThat(answer.statusCode()).isIn(502, 504);
      assertThat(answer.headers().firstValue("Cuminwell-Verdict")).contains("may_have_run");
      assertThat(endpoint.exchanges).hasSize(1);
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("bodies")
  void bodyWithoutEndIsNeverPassedOnAsComplete(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      assertThat(isComplete(forward.send(TOKENS))).isFalse();
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("streams")
  void streamWithoutEndIsNeverPassedOnAsComplete(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.ResumableStream(), c.relayed())) {
      assertThat(isComplete(forward.send(TOKENS))).isFalse();
      assertIsClosedAndBlamed(endpoint, forward);
      assertThat(endpoint.endlessBytes.get()).isLessThan(MOST_HEAD_BYTES * 3);
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("streams")
  void streamWithoutEndIsGoneOnWithElsewhere(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script(), LAST_EVENT));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.ResumableStream(), c.relayed())) {
      boolean complete = isComplete(forward.send(TOKENS));

      boolean overlong = c.endless().name().equals("events that nobody asked for");
      assertThat(complete).isEqualTo(!overlong);
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("afterwards")
  void bytesAfterAnAnswerCloseTheConnection(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.endless().script()));
        var forward =
            ForwardFixture.start(endpoint, new RetrySemantics.Idempotent(), c.relayed())) {
      HttpResponse<InputStream> answer = forward.send(TOKENS);

      assertThat(answer.body().readAllBytes()).asString().isEqualTo(WHOLE);
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(endpoint.endlessBytes.get()).isLessThan(MOST_HEAD_BYTES);
    }
  }

  private static void assertIsClosedAndBlamed(FakeEndpoint endpoint, ForwardFixture forward)
      throws InterruptedException {
    assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    assertThat(forward.failures).isNotEmpty();
    ForwardLogEvent.AttemptFailed first = forward.failures.getFirst();
    assertThat(first.failure().verdict()).isNotEqualTo(Verdict.notRun());
    assertThat(first.failure().message()).isNotBlank();
  }

  /** Interim answers may come for as long as an endpoint may stay silent. */
  private static long mostBytes(Case c) {
    boolean skipped = c.endless().repeated().startsWith("HTTP/1.1 1");
    return skipped ? MOST_SKIPPED_BYTES : MOST_HEAD_BYTES;
  }

  private static boolean isComplete(HttpResponse<InputStream> answer) {
    try (InputStream body = answer.body()) {
      body.transferTo(java.io.OutputStream.nullOutputStream());
      return answer.statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static Stream<Case> direct(Endless... endless) {
    return Stream.of(true, false)
        .flatMap(relayed -> Stream.of(endless).map(e -> new Case(e, relayed)));
  }
}
