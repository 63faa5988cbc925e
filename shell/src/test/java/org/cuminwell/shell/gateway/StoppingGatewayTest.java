package org.cuminwell.shell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.cuminwell.shell.http.HttpResponses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds what becomes of requests at a gateway that stops, over real sockets. */
final class StoppingGatewayTest {

  private static final Duration SHORT = Duration.ofSeconds(2);
  private static final Duration LONG = Duration.ofSeconds(60);
  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private final StopSteps steps = new StopSteps();
  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = GatewayFixture.start();
  }

  @AfterEach
  void close() {
    gateway.close();
    steps.close();
  }

  @ParameterizedTest(name = "after {0} requests over the connection")
  @ValueSource(ints = {0, 3})
  void answersOfAStoppingGatewayEndTheirConnection(int before) throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(Scripts::wholeJson));
        Socket socket = connect()) {
      gateway.announce("e", endpoint.port());
      for (int i = 0; i < before; i++) {
        write(socket);
        assertThat(readOne(socket.getInputStream())).doesNotContain("connection: close");
      }
      CompletableFuture<Void> stopped = stop(LONG);
      awaitNotReady();
      write(socket);
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(answer.toLowerCase(Locale.ROOT)).contains(" 200 ok").contains("connection: close");
      stopped.join();
    }
  }

  enum Unfinished {
    SILENT,
    STREAMING
  }

  @ParameterizedTest(name = "{0} endpoint")
  @EnumSource(Unfinished.class)
  void requestsThatOutlastTheStopAreAnsweredInTime(Unfinished kind) throws Exception {
    FakeEndpoint.Script script =
        switch (kind) {
          case SILENT -> Scripts::silent;
          case STREAMING ->
              x -> {
                x.write(Scripts.streamHead(x.id) + Scripts.chunk(x.id, "a"));
                x.waitForClose();
              };
        };
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(script))) {
      gateway.announce("e", endpoint.port());
      CompletableFuture<HttpResponse<String>> answer =
          async(() -> kind == Unfinished.SILENT ? gateway.plain("POST") : gateway.chat(true));
      endpoint.awaitExchange();
      stop(SHORT).join();
      HttpResponse<String> ended = answer.join();
      assertThat(ended.statusCode()).isEqualTo(kind == Unfinished.SILENT ? 503 : 200);
      assertThat(verdict(ended)).isEqualTo(kind == Unfinished.SILENT ? "may_have_run" : "");
      assertThat(ended.body()).contains("stopping").doesNotContain("DONE");
      assertThat(steps.seen())
          .containsSubsequence(
              "asked", "refusing", "cut", "relays_ended", "connections_ended", "stopped")
          .contains("listener_closed", "idle");
    }
  }

  @ParameterizedTest(name = "relayed request that ends {0} the stop begins to refuse")
  @CsvSource({"before, true", "after, false"})
  void relayedAnswersAreNotCutByTheStop(String when, boolean before) throws Exception {
    CountDownLatch answers = new CountDownLatch(1);
    FakeEndpoint.Script script =
        x -> {
          answers.await();
          Scripts.wholeJson(x);
        };
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(script))) {
      CompletableFuture<HttpResponse<String>> running = async(() -> relayed(endpoint));
      endpoint.awaitExchange();
      CompletableFuture<Void> stopped = stop(LONG);
      if (!before) {
        awaitListenerClosed();
        HttpResponse<String> refused = relayed(endpoint);
        assertThat(verdict(refused)).isEqualTo("not_run");
        assertThat(endpoint.exchanges).hasSize(1);
      }
      answers.countDown();
      assertThat(running.join().statusCode()).isEqualTo(200);
      stopped.join();
    }
  }

  private static String verdict(HttpResponse<String> answer) {
    return answer.headers().firstValue(HttpResponses.VERDICT_HEADER).orElse("");
  }

  private HttpResponse<String> relayed(FakeEndpoint endpoint)
      throws IOException, InterruptedException {
    return gateway.send(
        gateway
            .inner("/x")
            .header("Cuminwell-Relay-To", "127.0.0.1:" + endpoint.port())
            .POST(HttpRequest.BodyPublishers.ofString("{}")));
  }

  private void awaitNotReady() throws IOException, InterruptedException {
    while (gateway.send(gateway.inner("/readyz").GET()).statusCode() == 200) {
      Thread.sleep(5);
    }
  }

  private void awaitListenerClosed() throws InterruptedException {
    while (takesConnections()) {
      Thread.sleep(5);
    }
  }

  private boolean takesConnections() {
    try (Socket socket = connect()) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  private CompletableFuture<Void> stop(Duration timeout) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            gateway.process.stop(timeout);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Sends something and may fail. */
  private interface Sending {
    HttpResponse<String> send() throws IOException, InterruptedException;
  }

  private static CompletableFuture<HttpResponse<String>> async(Sending sending) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return sending.send();
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callersPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket) throws IOException {
    String request =
        "POST /r/sacks/book HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "
            + GatewayFixture.KEY
            + "\r\nContent-Length: 2\r\n\r\n{}";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
  }

  /** Reads one answer that ends with a JSON object, and returns it in lower case. */
  private static String readOne(InputStream in) throws IOException {
    ByteArrayOutputStream answer = new ByteArrayOutputStream();
    String text = "";
    while (!text.contains("]}")) {
      answer.write(in.read());
      text = answer.toString(StandardCharsets.UTF_8);
    }
    return text.toLowerCase(Locale.ROOT);
  }
}
