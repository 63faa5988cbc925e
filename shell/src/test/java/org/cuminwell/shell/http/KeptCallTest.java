package org.cuminwell.shell.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.shell.http.KeepAliveServer.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which requests share a connection, and that a connection that can't be used any more loses
 * none of them.
 */
@Timeout(60)
final class KeptCallTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n";
  private static final String WHOLE = HEAD + "Content-Length: 2\r\n\r\n{}";
  private static final String CHUNKED =
      HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";

  private final HttpSystem http = HttpSystem.start("kept-call-test");
  private final ClientConnections connections =
      new ClientConnections(http, InstantSource.system(), 512);

  @AfterEach
  void close() {
    http.close();
  }

  @ParameterizedTest(name = "repeatable: {0}")
  @CsvSource({"true, 1", "false, 5"})
  void onlyRequestsThatMayRunTwiceShareAConnection(boolean repeatable, int expected)
      throws IOException {
    try (KeepAliveServer server = KeepAliveServer.start(List.of(Step.respond(WHOLE)))) {
      for (int i = 0; i < 5; i++) {
        assertThat(call(server, repeatable)).isEqualTo("{}");
      }
      assertThat(server.connectionCount()).isEqualTo(expected);
      assertThat(server.requestCount()).isEqualTo(5);
      assertThat(connections.opened()).isEqualTo(expected);
    }
  }

  static Stream<String> responsesThatKeepTheConnection() {
    return Stream.of(WHOLE, CHUNKED, INTERIM + WHOLE, INTERIM + CHUNKED);
  }

  @ParameterizedTest
  @MethodSource("responsesThatKeepTheConnection")
  void connectionIsKeptAfterAWholeResponse(String response) throws IOException {
    try (KeepAliveServer server = KeepAliveServer.start(List.of(Step.respond(response)))) {
      for (int i = 0; i < 3; i++) {
        assertThat(call(server, true)).isEqualTo("{}");
      }
      assertThat(server.connectionCount()).isEqualTo(1);
    }
  }

  static Stream<String> responsesThatEndTheConnection() {
    return Stream.of(
        HEAD + "Connection: close\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  }

  @ParameterizedTest
  @MethodSource("responsesThatEndTheConnection")
  void connectionIsNotKeptIfTheResponseEndsIt(String response) throws IOException {
    try (KeepAliveServer server = KeepAliveServer.start(List.of(Step.respond(response)))) {
      for (int i = 0; i < 3; i++) {
        assertThat(call(server, true)).isEqualTo("{}");
      }
      assertThat(server.connectionCount()).isEqualTo(3);
    }
  }

  @ParameterizedTest(name = "the endpoint {0} the kept connection")
  @ValueSource(strings = {"resets", "closes"})
  void requestOnAConnectionThatThePeerHasDroppedIsSentAgain(String how) throws IOException {
    Step drop = how.equals("resets") ? Step.reset() : Step.close();
    try (KeepAliveServer server =
        KeepAliveServer.start(List.of(Step.respond(WHOLE), drop, Step.respond(WHOLE)))) {
      assertThat(call(server, true)).isEqualTo("{}");
      assertThat(call(server, true)).isEqualTo("{}");
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  @ParameterizedTest(name = "after {0} requests")
  @ValueSource(ints = {0, 3})
  void failureToConnectMeansNotRun(int before) throws IOException {
    HostAddress address;
    try (KeepAliveServer server = KeepAliveServer.start(List.of(Step.respond(WHOLE)))) {
      for (int i = 0; i < before; i++) {
        call(server, true);
      }
      address = server.address();
    }
    KeptCall call = connections.newCall();
    assertThatThrownBy(
            () -> call.send(address, HttpRequest.GET("/"), true).toCompletableFuture().join())
        .isInstanceOf(CompletionException.class)
        .satisfies(e -> assertThat(SingleCall.failureOf(e).verdict()).isEqualTo(Verdict.notRun()));
  }

  @ParameterizedTest(name = "bytes after the response: {0}")
  @ValueSource(strings = {"x", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[1]"})
  void lateBytesAreNeverTakenForTheNextResponse(String late) throws Exception {
    try (KeepAliveServer server =
        KeepAliveServer.start(List.of(Step.respondThenSend(WHOLE, late), Step.respond(WHOLE)))) {
      assertThat(call(server, true)).isEqualTo("{}");
      server.awaitClosedByClient();
      assertThat(call(server, true)).isEqualTo("{}");
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  private String call(KeepAliveServer server, boolean repeatable) {
    KeptCall call = connections.newCall();
    HttpResponse response =
        call.send(server.address(), HttpRequest.GET("/"), repeatable)
            .toCompletableFuture()
            .orTimeout(20, TimeUnit.SECONDS)
            .join();
    String body =
        response
            .entity()
            .toStrict(Duration.ofSeconds(20).toMillis(), http.actorSystem())
            .toCompletableFuture()
            .join()
            .getData()
            .utf8String();
    call.release();
    return body;
  }
}
