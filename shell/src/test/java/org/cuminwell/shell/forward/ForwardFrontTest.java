package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.ServerListener;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which events are reported for a request whose caller disconnects: an open request whose
 * caller has disconnected must not be left running without a report.
 */
@Timeout(60)
final class ForwardFrontTest {

  private static final String HEAD =
      "POST /work/1 HTTP/1.1\r\nHost: h\r\nTokens: 1\r\nContent-Length: 4\r\n\r\n";

  /** What the caller has sent when it disconnects. */
  enum Sent {
    NOTHING(""),
    A_PART_OF_THE_HEAD(HEAD.substring(0, 20)),
    A_PART_OF_THE_BODY(HEAD + "bo"),
    ALL(HEAD + "body");

    private final String bytes;

    Sent(String bytes) {
      this.bytes = bytes;
    }
  }

  @ParameterizedTest(name = "the caller has sent {0} and disconnects: {1}")
  @CsvSource({
    "ALL, false, RequestReceived",
    "NOTHING, true, ''",
    "A_PART_OF_THE_HEAD, true, ''",
    "A_PART_OF_THE_BODY, true, ''",
    "ALL, true, RequestReceived CallerDisconnected"
  })
  void disconnectOfCallerIsReportedForEveryOpenRequest(
      Sent sent, boolean disconnects, String events) throws IOException, InterruptedException {
    List<String> seen = new CopyOnWriteArrayList<>();
    Predicate<ForwardEvent> offer = event -> seen.add(event.getClass().getSimpleName());
    Consumer<ForwardEvent> force = event -> seen.add(event.getClass().getSimpleName());
    HostAddress address = FreePorts.next();
    try (HttpEventLoops loops = new HttpEventLoops()) {
      MonotonicTime time = new MonotonicTime();
      ClientConnections connections = new ClientConnections(loops, time, 512);
      ForwardFront front =
          new ForwardFront(loops, time, connections, new PlainDialect(), offer, force);
      ServerListener listener = HttpServer.bind(loops, address, front::newConnection);
      try (Socket caller = new Socket(address.host(), address.port())) {
        caller.getOutputStream().write(sent.bytes.getBytes(StandardCharsets.UTF_8));
        awaitOpen(listener, 1);
        if (sent == Sent.ALL) {
          await(seen, 1);
        }
        if (disconnects) {
          disconnect(caller);
          awaitOpen(listener, 0);
        }
        assertThat(String.join(" ", seen)).isEqualTo(events);
      }
    }
  }

  private static void disconnect(Socket caller) throws IOException {
    caller.close();
  }

  private static void awaitOpen(ServerListener listener, int open) throws InterruptedException {
    while (listener.figures().open() != open) {
      Thread.sleep(5);
    }
  }

  private static void await(List<String> seen, int count) throws InterruptedException {
    while (seen.size() < count) {
      Thread.sleep(5);
    }
  }
}
