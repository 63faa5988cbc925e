package org.cuminwell.shell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds what callers get for bad requests, and that no endpoint sees one or a key. */
@Timeout(60)
class CallerFaultsTest {

  /** Says what is sent over a raw connection and how the answer must begin and go on. */
  record Case(String name, String request, int status, String part) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static final String CHAT =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"grade?\"}]}";
  private static final String AUTH = "Authorization: Bearer " + GatewayFixture.KEY + "\r\n";

  private static FakeEndpoint endpoint;
  private static GatewayFixture gateway;

  @BeforeAll
  static void start() throws IOException, InterruptedException {
    endpoint = FakeEndpoint.start(List.of(Scripts::wholeJson));
    gateway = GatewayFixture.start();
    gateway.announce("e0", endpoint.port());
  }

  @AfterAll
  static void stop() throws IOException {
    gateway.close();
    endpoint.close();
  }

  static Stream<Case> cases() {
    String chat = "POST /v1/chat/completions";
    return Stream.of(
        new Case("no key", request(chat, "", CHAT), 401, "missing_key"),
        new Case(
            "wrong key", request(chat, "Authorization: Bearer x\r\n", CHAT), 401, "invalid_key"),
        new Case(
            "key in another scheme",
            request(chat, "Authorization: Basic " + GatewayFixture.KEY + "\r\n", CHAT),
            401,
            "missing_key"),
        new Case("empty key", request(chat, "Authorization: Bearer \r\n", CHAT), 401, "_key"),
        new Case("bad JSON", request(chat, AUTH, "{"), 400, "bad_request"),
        new Case("JSON that is no object", request(chat, AUTH, "[]"), 400, "bad_request"),
        new Case("no messages", request(chat, AUTH, "{\"model\":\"m\"}"), 400, "bad_request"),
        new Case(
            "tokens below one",
            request(chat, AUTH, CHAT.replace("{\"model\"", "{\"max_tokens\":0,\"model\"")),
            400,
            "bad_request"),
        new Case(
            "unknown model",
            request(chat, AUTH, CHAT.replace("\"m\"", "\"n\"")),
            404,
            "unknown_route"),
        new Case(
            "unknown route in the header",
            request(chat, AUTH + "Cuminwell-Route: none\r\n", CHAT),
            404,
            "unknown_route"),
        new Case(
            "route of another kind in the header",
            request(chat, AUTH + "Cuminwell-Route: sacks\r\n", CHAT),
            404,
            "unknown_route"),
        new Case(
            "unknown plain route", request("POST /r/none/x", AUTH, "{}"), 404, "unknown_route"),
        new Case("bad route name", request("POST /r/%20/x", AUTH, "{}"), 400, "bad_request"),
        new Case("unknown path", request("GET /nothing", AUTH, ""), 404, "unknown_path"),
        new Case(
            "path of the inner listener",
            request("POST /v1/relay/chat", AUTH, CHAT),
            404,
            "unknown_path"),
        new Case(
            "wrong method", request("GET /v1/chat/completions", AUTH, ""), 405, "wrong_method"),
        new Case(
            "hop mark from outside",
            request(chat, AUTH + "Cuminwell-Hop: g9\r\n", CHAT),
            400,
            "hop_mark_refused"),
        new Case(
            "bound elsewhere",
            request(chat, "Authorization: Bearer " + GatewayFixture.ELSEWHERE_KEY + "\r\n", CHAT),
            421,
            "wrong_region"),
        new Case(
            "body too large by its length",
            chat + " HTTP/1.1\r\nHost: x\r\n" + AUTH + "Content-Length: 9000000\r\n\r\n{",
            413,
            "body_too_large"),
        new Case(
            "header too long",
            request(chat, AUTH + "X-Long: " + "x".repeat(9_000) + "\r\n", CHAT),
            431,
            ""),
        new Case("too many headers", request(chat, AUTH + "X-A: 1\r\n".repeat(100), CHAT), 400, ""),
        new Case("target too long", request("POST /" + "x".repeat(5_000), AUTH, CHAT), 414, ""),
        new Case("not HTTP", "what is this\r\n\r\n", 501, ""));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void refusesBeforeAnythingIsSent(Case c) throws IOException {
    int before = endpoint.exchanges.size();

    String answer = exchange(c.request());

    assertThat(answer).startsWith("HTTP/1.1 " + c.status()).contains(c.part());
    if (!c.part().isEmpty()) {
      assertThat(answer).contains("Cuminwell-Verdict: not_run");
    }
    assertThat(endpoint.exchanges).hasSize(before);
  }

  @Test
  void neverSendsACutOffBody() throws IOException {
    int before = endpoint.exchanges.size();
    try (Socket socket = connect()) {
      write(
          socket,
          "POST /r/sacks/book HTTP/1.1\r\nHost: x\r\n" + AUTH + "Content-Length: 10\r\n\r\n{");
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    }
    assertThat(endpoint.exchanges).hasSize(before);
  }

  @ParameterizedTest(name = "key in {0}")
  @ValueSource(
      strings = {
        "X-Api-Key: KEY",
        "Cookie: k=KEY",
        "X-Anything: a KEY b",
        "Api-Key: KEY",
        "Via: KEY"
      })
  void keepsTheKeyFromEndpoints(String header) throws IOException {
    int before = endpoint.exchanges.size();
    String extra = AUTH + header.replace("KEY", GatewayFixture.KEY) + "\r\n";
    String answer = exchange(request("POST /r/sacks/x?a=1&k=" + GatewayFixture.KEY, extra, "{}"));

    assertThat(answer).startsWith("HTTP/1.1 200");
    assertThat(endpoint.exchanges).hasSize(before + 1);
    assertThat(endpoint.exchanges.getLast().head)
        .contains("a=1")
        .doesNotContain(GatewayFixture.KEY);
  }

  @ParameterizedTest(name = "streamed {0}")
  @ValueSource(booleans = {true, false})
  void cancelsAtTheEndpointWhenTheCallerLeavesBeforeAnAnswer(boolean stream) throws Exception {
    try (FakeEndpoint slow = FakeEndpoint.start(List.of(Scripts::silent));
        GatewayFixture own = GatewayFixture.start()) {
      own.announce("e0", slow.port());
      String body = CHAT.replace("{\"model\"", "{\"stream\":" + stream + ",\"model\"");
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), own.callersPort())) {
        write(socket, request("POST /v1/chat/completions", AUTH, body));
        while (slow.exchanges.isEmpty()) {
          Thread.sleep(10);
        }
      }
      assertThat(slow.closed.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(slow.exchanges).hasSize(1);
    }
  }

  @Test
  void answersACallerThatAsksToCloseTheConnection() throws IOException {
    String answer =
        exchange(request("POST /v1/chat/completions", AUTH + "Connection: close\r\n", CHAT));
    assertThat(answer).startsWith("HTTP/1.1 200").contains("choices");
  }

  private static String request(String line, String headers, String body) {
    return line
        + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Sends the text and returns the first part of the answer, up to the end of its body. */
  private static String exchange(String request) throws IOException {
    try (Socket socket = connect()) {
      write(socket, request);
      StringBuilder answer = new StringBuilder();
      byte[] buffer = new byte[65_536];
      int read = socket.getInputStream().read(buffer);
      while (read > 0 && !isWhole(answer.append(text(buffer, read)))) {
        read = socket.getInputStream().read(buffer);
      }
      return answer.toString();
    }
  }

  private static boolean isWhole(StringBuilder answer) {
    int end = answer.indexOf("\r\n\r\n");
    if (end < 0) {
      return false;
    }
    return answer
        .substring(0, end)
        .lines()
        .filter(line -> line.startsWith("Content-Length: "))
        .mapToInt(line -> Integer.parseInt(line.substring(16)))
        .anyMatch(length -> answer.length() >= end + 4 + length);
  }

  private static String text(byte[] buffer, int length) {
    return new String(buffer, 0, length, StandardCharsets.UTF_8);
  }

  private static Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), gateway.callersPort());
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }
}
