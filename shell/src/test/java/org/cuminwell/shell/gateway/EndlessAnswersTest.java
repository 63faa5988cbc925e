package org.cuminwell.shell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cuminwell.shell.gateway.Scripts.chunk;
import static org.cuminwell.shell.gateway.Scripts.streamHead;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds what callers of completions get when an endpoint sends without end what is no answer. */
@Timeout(60)
final class EndlessAnswersTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String JSON_HEAD =
      HEAD + "Content-Type: application/json\r\nX-Request-Id: ID\r\nConnection: close\r\n\r\n";

  /** Says what an endpoint sends before what it repeats without end. */
  record Case(String name, boolean stream, String first, String repeated) {
    @Override
    public String toString() {
      return (stream ? "streamed: " : "whole: ") + name;
    }

    Script script() {
      return x -> {
        x.write(first.replace("ID", x.id));
        x.writeForEver(repeated.replace("ID", x.id));
      };
    }
  }

  static Stream<Case> beforeThePartsOfAnAnswer() {
    return Stream.of(
        new Case("no status line", true, "", "x"),
        new Case("interim answers", true, "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        new Case("headers", false, HEAD, "X: y\r\n"),
        new Case("a body that is no JSON", false, JSON_HEAD, "x"),
        new Case("a line", true, streamHead("ID"), "x"),
        new Case("comments", true, streamHead("ID"), ": x\n"),
        new Case("empty lines", true, streamHead("ID"), "\n"));
  }

  static Stream<Case> afterAPart() {
    return Stream.of(
        new Case("a line", true, streamHead("ID") + chunk("ID", "a"), "x"),
        new Case("comments", true, streamHead("ID") + chunk("ID", "a"), ": x\n"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("beforeThePartsOfAnAnswer")
  void bytesWithoutEndLeaveRoomForAnotherAttempt(Case c) throws Exception {
    Script whole = c.stream() ? Scripts::streamWhole : Scripts::wholeJson;
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.script(), whole));
        GatewayFixture gateway = GatewayFixture.start()) {
      gateway.announce("e0", endpoint.port());

      HttpResponse<String> answer = gateway.chat(c.stream());

      assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
      assertThat(answer.body()).doesNotContain("error");
      assertThat(endpoint.exchanges).hasSize(2);
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("afterAPart")
  void streamWithoutEndIsBrokenOff(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(c.script()));
        GatewayFixture gateway = GatewayFixture.start()) {
      gateway.announce("e0", endpoint.port());

      HttpResponse<String> answer = gateway.chat(true);

      assertThat(answer.body().length()).isLessThan(16 * 1024 * 1024);
      assertThat(answer.body()).contains("\"verdict\":\"may_have_run\"").doesNotContain("DONE");
      assertThat(endpoint.closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }
}
