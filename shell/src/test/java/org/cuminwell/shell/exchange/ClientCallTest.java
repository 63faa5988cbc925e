package org.cuminwell.shell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.exchange.KeepAliveServer.Step;
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
final class ClientCallTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n";
  private static final String WHOLE = HEAD + "Content-Length: 2\r\n\r\n{}";
  private static final String CHUNKED =
      HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";

  private final HttpEventLoops loops = new HttpEventLoops();
  private final ClientConnections connections =
      new ClientConnections(loops, InstantSource.system(), 512);

  @AfterEach
  void close() {
    loops.close();
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
    assertThat(outcome(address, true).join()).isEqualTo(new CallFailure.NotConnected());
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

  @ParameterizedTest(name = "bytes with the response: {0}")
  @ValueSource(strings = {"x", "HTTP/1.1 200 OK\r\nContent-Le", WHOLE, CHUNKED})
  void bytesThatComeWithAResponseAreNeverTakenForTheNext(String extra) throws Exception {
    try (KeepAliveServer server =
        KeepAliveServer.start(List.of(Step.respond(WHOLE + extra), Step.respond(CHUNKED)))) {
      assertThat(call(server, true)).isEqualTo("{}");
      server.awaitClosedByClient();
      assertThat(call(server, true)).isEqualTo("{}");
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  @ParameterizedTest(name = "response: {0}")
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
        "HTTP/1.1 200 OK\r\nContent-",
      })
  void responseThatEndsEarlyIsNotWhole(String response) throws Exception {
    try (KeepAliveServer server = KeepAliveServer.start(List.of(Step.respondThenClose(response)))) {
      assertThat(outcome(server.address(), false).join()).isEqualTo(new CallFailure.Broken());
    }
  }

  private String call(KeepAliveServer server, boolean repeatable) {
    Object outcome = outcome(server.address(), repeatable).join();
    return outcome instanceof ResponseMessage response
        ? new String(response.body(), StandardCharsets.UTF_8)
        : outcome.toString();
  }

  /** Sends a request and returns its whole response, or its failure. */
  private CompletableFuture<Object> outcome(HostAddress address, boolean repeatable) {
    CompletableFuture<Object> outcome = new CompletableFuture<>();
    loops
        .exchangeLoop()
        .execute(
            () -> {
              ClientCall call = connections.newCall();
              call.send(address, RequestMessage.get("/"), repeatable, new Recorder(call, outcome));
            });
    return outcome;
  }

  /** Gathers a response and gives its connection back. Confined to the event loop. */
  private static final class Recorder implements ResponseReceiver {

    private final WholeResponse whole = new WholeResponse();
    private final ClientCall call;
    private final CompletableFuture<Object> outcome;

    Recorder(ClientCall call, CompletableFuture<Object> outcome) {
      this.call = call;
      this.outcome = outcome;
    }

    @Override
    public void onHead(ResponseStart head) {
      whole.onHead(head);
    }

    @Override
    public void onPart(byte[] part) {
      whole.onPart(part);
    }

    @Override
    public void onEnd() {
      whole.onEnd();
      call.release();
      Optional<ResponseMessage> response = whole.future().join();
      outcome.complete(response.orElseThrow());
    }

    @Override
    public void onFailure(CallFailure failure) {
      call.abort();
      outcome.complete(failure);
    }
  }
}
