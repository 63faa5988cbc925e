package org.cuminwell.shell.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.exchange.RequestTimes.AgeBounds;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that waited for a process that didn't run counting as new ones. */
@Timeout(60)
final class TimedServerChannelTest {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Instant RUNNING_AT = START.plusSeconds(10);
  private static final Instant SENT_AT = START.plusSeconds(20);
  private static final Instant RESUMED_AT = START.plusSeconds(30);

  private final HostAddress address = FreePorts.next();
  private final HttpEventLoops loops = new HttpEventLoops();
  private final BlockingQueue<AgeBounds> handled = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new ArrayList<>();
  private volatile Instant now = START;

  @AfterEach
  void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    loops.close();
  }

  @ParameterizedTest(name = "{0} connections")
  @ValueSource(ints = {1, 10, 40})
  void requestOnAConnectionThatWaitedCountsAsSentBeforeTheSuspension(int connections)
      throws Exception {
    serveUntilRunning();

    CountDownLatch resumed = suspend(loops.accepting().next());
    now = SENT_AT;
    for (int i = 0; i < connections; i++) {
      send(connect());
    }
    now = RESUMED_AT;
    resumed.countDown();

    for (int i = 0; i < connections; i++) {
      assertThat(handled.take().sentAfter()).isEqualTo(RUNNING_AT);
    }
  }

  /** Names what has been sent on a connection before the process is suspended. */
  enum Before {
    NOTHING,
    A_REQUEST
  }

  @ParameterizedTest(name = "{0} was sent before")
  @EnumSource(Before.class)
  void requestThatWaitedInASocketCountsAsArrivedBeforeTheSuspension(Before before)
      throws Exception {
    serveUntilRunning();
    Socket socket = connect();
    if (before == Before.A_REQUEST) {
      send(socket);
      handled.take();
    }

    CountDownLatch resumed = suspend(loops.exchangeLoop());
    now = SENT_AT;
    send(socket);
    now = RESUMED_AT;
    resumed.countDown();

    assertThat(handled.take().arrivedAfter()).isBetween(START, RUNNING_AT);
  }

  /** Serves, and waits until new connections count as established after {@link #RUNNING_AT}. */
  private void serveUntilRunning() throws Exception {
    HttpServer.bindTimed(loops, address, () -> now, this::newHandler);
    now = RUNNING_AT;
    do {
      send(connect());
    } while (handled.take().sentAfter().isBefore(RUNNING_AT));
  }

  /** Keeps an event loop busy until the latch is released, as a suspension does. */
  private static CountDownLatch suspend(EventLoop loop) throws InterruptedException {
    CountDownLatch suspended = new CountDownLatch(1);
    CountDownLatch resumed = new CountDownLatch(1);
    loop.execute(
        () -> {
          suspended.countDown();
          try {
            resumed.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    suspended.await();
    return resumed;
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getByName(address.host()), address.port());
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket) throws IOException {
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: test\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  private ExchangeHandler newHandler() {
    return new ExchangeHandler() {
      @Override
      public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
        handled.add(times.bounds().orElseThrow());
        writer.respond(ResponseMessage.empty(200));
      }

      @Override
      public ResponseMessage unreadable(Failure failure) {
        return ResponseMessage.empty(400);
      }

      @Override
      public void onDisconnected() {}
    };
  }
}
