package org.cuminwell.shell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a listener serves its callers, whatever it had to do for others before. */
@Timeout(60)
final class ServerUnderLoadTest {

  private static final int READ_TIMEOUT_MILLIS = 30_000;
  private static final int SILENT_CALLERS = 16;

  private final HttpEventLoops loops = new HttpEventLoops();
  private final HostAddress address = FreePorts.next();
  private final List<Socket> sockets = new ArrayList<>();
  private final List<String> handledPaths = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();

  @AfterEach
  void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    loops.close();
  }

  @ParameterizedTest(name = "no handler for the first {0} connections")
  @ValueSource(ints = {1, 2, 40})
  void connectionThatCannotBeSetUpDoesNotEndTheListener(int failing) throws IOException {
    HttpServer.bind(
        loops,
        address,
        () -> {
          if (connections.incrementAndGet() <= failing) {
            throw new IllegalStateException("no handler for this connection");
          }
          return new RecordingHandler();
        });
    for (int i = 0; i < failing; i++) {
      assertThat(isClosedByPeer(connect())).isTrue();
    }

    assertThat(responseTo(connect(), "/live")).startsWith("HTTP/1.1 200");
  }

  @ParameterizedTest(name = "{0} callers left while the listener was busy")
  @ValueSource(ints = {1, 10, 80})
  void requestsOfCallersThatLeftBeforeTheyWereReadAreNotHandled(int callers) throws IOException {
    CountDownLatch busy = new CountDownLatch(1);
    HttpServer.bind(
        loops,
        address,
        () -> {
          if (connections.incrementAndGet() == SILENT_CALLERS) {
            await(busy);
          }
          return new RecordingHandler();
        });
    for (int i = 0; i < SILENT_CALLERS; i++) {
      connect();
    }
    for (int i = 0; i < callers; i++) {
      try (Socket socket = connect()) {
        send(socket, "/left");
      }
    }
    busy.countDown();

    assertThat(responseTo(connect(), "/live")).startsWith("HTTP/1.1 200");
    assertThat(handledPaths).containsExactly("/live");
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String path) throws IOException {
    String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a request and returns the first bytes of its response. */
  private static String responseTo(Socket socket, String path) throws IOException {
    send(socket, path);
    byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return new String(start, StandardCharsets.UTF_8);
  }

  /** Waits for the end of the connection; returns false if bytes arrive instead. */
  private static boolean isClosedByPeer(Socket socket) {
    try {
      return socket.getInputStream().read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Responds with success to every request and records its path. */
  private final class RecordingHandler implements ExchangeHandler {

    @Override
    public void onRequest(RequestMessage request, Instant headReceivedAt, ResponseWriter writer) {
      handledPaths.add(request.path());
      writer.respond(ResponseMessage.empty(200));
    }

    @Override
    public ResponseMessage unreadable(Failure failure) {
      return ResponseMessage.empty(400);
    }

    @Override
    public void onDisconnected() {}
  }
}
