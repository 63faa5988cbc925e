package org.cuminwell.shell.exchange;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminwell.core.model.HostAddress;

/**
 * Serves many requests without a body on each connection, one step of a script for each request;
 * the last step is repeated. Thread safe.
 */
final class KeepAliveServer implements AutoCloseable {

  /** What the server does on a request. */
  sealed interface Step {

    record Respond(String response, String late) implements Step {}

    record RespondThenClose(String response) implements Step {}

    record Reset() implements Step {}

    record Close() implements Step {}

    static Step respond(String response) {
      return new Respond(response, "");
    }

    /** Responds, and sends further bytes once the response has probably been read. */
    static Step respondThenSend(String response, String late) {
      return new Respond(response, late);
    }

    /** Responds and closes the connection. */
    static Step respondThenClose(String response) {
      return new RespondThenClose(response);
    }

    static Step reset() {
      return new Reset();
    }

    static Step close() {
      return new Close();
    }
  }

  private static final int PAUSE_MILLIS = 300;

  private final List<Step> steps;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();
  private final CountDownLatch closedByClient = new CountDownLatch(1);

  private KeepAliveServer(List<Step> steps) throws IOException {
    this.steps = steps;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  static KeepAliveServer start(List<Step> steps) throws IOException {
    KeepAliveServer server = new KeepAliveServer(steps);
    Thread.ofVirtual().start(server::accept);
    return server;
  }

  HostAddress address() {
    return new HostAddress("127.0.0.1", server.getLocalPort());
  }

  int connectionCount() {
    return connections.get();
  }

  int requestCount() {
    return requests.get();
  }

  /** Waits until the client has closed a connection. */
  void awaitClosedByClient() throws InterruptedException {
    closedByClient.await();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        connections.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The server has been closed.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (readHead(in)) {
        perform(steps.get(Math.min(requests.getAndIncrement(), steps.size() - 1)), socket);
      }
    } catch (IOException e) {
      // The client has reset the connection, or a step has closed it.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closedByClient.countDown();
  }

  private static void perform(Step step, Socket socket) throws IOException, InterruptedException {
    switch (step) {
      case Step.Respond s -> {
        write(socket, s.response());
        if (!s.late().isEmpty()) {
          Thread.sleep(PAUSE_MILLIS);
          write(socket, s.late());
        }
      }
      case Step.RespondThenClose s -> {
        write(socket, s.response());
        socket.close();
      }
      case Step.Reset s -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      case Step.Close s -> socket.close();
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Reads up to the end of a request head; returns false at the end of the connection. */
  private static boolean readHead(InputStream in) throws IOException {
    int newlines = 0;
    while (newlines < 2) {
      int b = in.read();
      if (b < 0) {
        return false;
      }
      newlines = b == '\n' ? newlines + 1 : b == '\r' ? newlines : 0;
    }
    return true;
  }
}
