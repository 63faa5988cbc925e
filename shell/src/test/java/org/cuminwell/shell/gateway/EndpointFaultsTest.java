package org.cuminwell.shell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cuminwell.shell.gateway.Scripts.DONE;
import static org.cuminwell.shell.gateway.Scripts.FOREIGN;
import static org.cuminwell.shell.gateway.Scripts.chunk;
import static org.cuminwell.shell.gateway.Scripts.completion;
import static org.cuminwell.shell.gateway.Scripts.json;
import static org.cuminwell.shell.gateway.Scripts.raw;
import static org.cuminwell.shell.gateway.Scripts.streamHead;
import static org.cuminwell.shell.gateway.Scripts.streamThen;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds what callers get when endpoints answer late, crossed, cut, doubled or not at all. */
@Timeout(60)
class EndpointFaultsTest {

  enum Call {
    STREAM,
    WHOLE,
    PLAIN_POST,
    PLAIN_GET
  }

  /**
   * Says what the caller must see: the status, the verdict of a failure and the end of a stream.
   */
  record Case(
      String name, Call call, List<Script> scripts, int status, String verdict, int attempts) {
    @Override
    public String toString() {
      return call + ": " + name;
    }
  }

  private static final String WHOLE = "whole";
  private static final String BROKEN = "broken";
  private static final String NOT_RUN = "not_run";
  private static final String MAY_HAVE_RUN = "may_have_run";

  static Stream<Case> streams() {
    Script whole = Scripts::streamWhole;
    return Stream.of(
        stream("whole", 200, WHOLE, 1, whole),
        stream("closed before an answer, then whole", 200, WHOLE, 2, Scripts::close, whole),
        stream("reset before an answer, then whole", 200, WHOLE, 2, Scripts::reset, whole),
        stream("reset again and again", 502, MAY_HAVE_RUN, 3, Scripts::reset),
        stream("503, then whole", 200, WHOLE, 2, raw(json("503 Busy", "ID", "{}")), whole),
        stream("503 again and again", 502, MAY_HAVE_RUN, 3, raw(json("503 Busy", "ID", "{}"))),
        stream("not HTTP, then whole", 200, WHOLE, 2, raw("what?\r\n\r\n"), whole),
        stream(
            "id of another request, then whole",
            200,
            WHOLE,
            2,
            raw(streamHead(FOREIGN) + chunk(FOREIGN, FOREIGN) + DONE),
            whole),
        stream(
            "no id, again and again",
            502,
            MAY_HAVE_RUN,
            3,
            raw(streamHead("") + chunk("ID", "a") + DONE)),
        stream("ends before the first part", 200, WHOLE, 2, raw(streamHead("ID")), whole),
        stream("marker alone is a whole empty answer", 200, WHOLE, 1, raw(streamHead("ID") + DONE)),
        stream("first part not JSON", 200, WHOLE, 2, raw(streamHead("ID") + "data: {\n\n"), whole),
        stream("silent, then whole", 200, WHOLE, 2, Scripts::silent, whole),
        stream(
            "late after the second attempt began", 200, WHOLE, 2, EndpointFaultsTest::late, whole),
        stream("silent until the deadline", 504, MAY_HAVE_RUN, 3, Scripts::silent),
        stream("cut after a part", 200, BROKEN, 1, streamThen("")),
        stream("cut in a part", 200, BROKEN, 1, streamThen("data: {\"id\":\"ID")),
        stream("crossed after a part", 200, BROKEN, 1, streamThen(chunk(FOREIGN, FOREIGN) + DONE)),
        stream("doubled marker", 200, BROKEN, 1, streamThen(DONE + DONE)),
        stream("more after the marker", 200, BROKEN, 1, streamThen(DONE + chunk("ID", FOREIGN))),
        stream(
            "second answer on the connection",
            200,
            BROKEN,
            1,
            streamThen(DONE + streamHead(FOREIGN) + chunk(FOREIGN, FOREIGN))),
        stream(
            "error in the stream", 200, BROKEN, 1, streamThen("data: {\"error\":{}}\n\n" + DONE)));
  }

  static Stream<Case> wholes() {
    Script whole = Scripts::wholeJson;
    String answer = completion("ID", "ab");
    return Stream.of(
        whole("whole", 200, WHOLE, 1, whole),
        whole(
            "shorter than its length",
            200,
            WHOLE,
            2,
            raw(json("200 OK", "ID", 999, answer)),
            whole),
        whole("not JSON", 200, WHOLE, 2, raw(json("200 OK", "ID", "{\"choices\":[")), whole),
        whole("no choices", 502, MAY_HAVE_RUN, 3, raw(json("200 OK", "ID", "{}"))),
        whole(
            "id of another request",
            200,
            WHOLE,
            2,
            raw(json("200 OK", FOREIGN, completion(FOREIGN, FOREIGN))),
            whole),
        whole(
            "second answer on the connection",
            200,
            WHOLE,
            1,
            x -> {
              Scripts.wholeJson(x);
              x.write(json("200 OK", FOREIGN, completion(FOREIGN, FOREIGN)));
            }),
        whole("the engine finds fault", 400, WHOLE, 1, raw(json("400 Bad", "ID", "{}"))),
        whole("500 again and again", 502, MAY_HAVE_RUN, 3, raw(json("500 Oops", "ID", "{}"))));
  }

  static Stream<Case> plains() {
    Script ok = raw(json("200 OK", "ID", "{}"));
    return Stream.of(
        plain("whole", Call.PLAIN_POST, 200, WHOLE, 1, ok),
        plain("reset is not sent again", Call.PLAIN_POST, 502, MAY_HAVE_RUN, 1, Scripts::reset, ok),
        plain(
            "closed is not sent again", Call.PLAIN_POST, 502, MAY_HAVE_RUN, 1, Scripts::close, ok),
        plain(
            "silent is not sent again", Call.PLAIN_POST, 504, MAY_HAVE_RUN, 1, Scripts::silent, ok),
        plain(
            "cut is not sent again",
            Call.PLAIN_POST,
            502,
            MAY_HAVE_RUN,
            1,
            raw(json("200 OK", "ID", 99, "{}")),
            ok),
        plain(
            "crossed is not passed on",
            Call.PLAIN_POST,
            502,
            MAY_HAVE_RUN,
            1,
            raw(json("200 OK", FOREIGN, "{}")),
            ok),
        plain(
            "503 is the service's own answer",
            Call.PLAIN_POST,
            503,
            WHOLE,
            1,
            raw(json("503 Busy", "ID", "{}")),
            ok),
        plain("idempotent is sent again", Call.PLAIN_GET, 200, WHOLE, 2, Scripts::reset, ok));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"streams", "wholes", "plains"})
  void passesWholeAnswersOnlyAndTellsTheTruth(Case c) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(c.scripts());
        GatewayFixture gateway = GatewayFixture.start()) {
      gateway.announce("e0", endpoint.port());

      HttpResponse<String> answer = send(gateway, c.call());

      assertThat(answer.statusCode()).as(answer.body()).isEqualTo(c.status());
      assertThat(outcome(c.call(), answer)).as(answer.body()).isEqualTo(c.verdict());
      assertThat(answer.body()).doesNotContain(FOREIGN);
      assertThat(endpoint.exchanges).hasSize(c.attempts());
      assertThat(endpoint.exchanges)
          .allSatisfy(x -> assertThat(x.head + x.body).doesNotContain(GatewayFixture.KEY));
    }
  }

  @ParameterizedTest
  @MethodSource("calls")
  void provesThatARefusedConnectionRanNothing(Call call) throws Exception {
    FakeEndpoint gone = FakeEndpoint.start(List.of(Scripts::close));
    gone.close();
    try (GatewayFixture gateway = GatewayFixture.start()) {
      gateway.announce("e0", gone.port());

      HttpResponse<String> answer = send(gateway, call);

      assertThat(answer.statusCode()).isEqualTo(502);
      assertThat(outcome(call, answer)).isEqualTo(NOT_RUN);
    }
  }

  static Stream<Call> calls() {
    return Stream.of(Call.values());
  }

  /** Answers when the request is already being tried elsewhere. */
  private static void late(FakeEndpoint.Exchange x)
      throws java.io.IOException, InterruptedException {
    x.waitForNext();
    x.write(streamHead(x.id) + chunk(x.id, FOREIGN) + DONE);
  }

  private static HttpResponse<String> send(GatewayFixture gateway, Call call) throws Exception {
    return switch (call) {
      case STREAM -> gateway.chat(true);
      case WHOLE -> gateway.chat(false);
      case PLAIN_POST -> gateway.plain("POST");
      case PLAIN_GET -> gateway.plain("GET");
    };
  }

  private static String outcome(Call call, HttpResponse<String> answer) {
    var verdict = answer.headers().firstValue("Cuminwell-Verdict");
    if (verdict.isPresent() || call != Call.STREAM) {
      return verdict.orElse(WHOLE);
    }
    boolean marked = answer.body().endsWith(DONE) && answer.body().split("DONE", -1).length == 2;
    boolean error = answer.body().contains("\"verdict\":\"may_have_run\"");
    return marked && !error ? WHOLE : error && !answer.body().contains("DONE") ? BROKEN : "unclear";
  }

  private static Case stream(String name, int status, String verdict, int attempts, Script... s) {
    return new Case(name, Call.STREAM, List.of(s), status, verdict, attempts);
  }

  private static Case whole(String name, int status, String verdict, int attempts, Script... s) {
    return new Case(name, Call.WHOLE, List.of(s), status, verdict, attempts);
  }

  private static Case plain(
      String name, Call call, int status, String verdict, int attempts, Script... s) {
    return new Case(name, call, List.of(s), status, verdict, attempts);
  }
}
