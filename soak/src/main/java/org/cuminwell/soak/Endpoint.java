package org.cuminwell.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for an endpoint: announces itself to the control hosts, runs what names it, and fails
 * as it is told to.
 *
 * <p>How long the response to a request is follows from the id of the request, so that a stream can
 * be resumed. Thread safe.
 */
final class Endpoint implements AutoCloseable {

  private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(1_200);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration FIRST_EVENT_DELAY = Duration.ofMillis(250);
  private static final Duration EVENT_GAP = Duration.ofMillis(60);
  private static final Duration PLAIN_WORK = Duration.ofMillis(25);
  private static final int MEAN_CHAT_EVENTS = 58;
  private static final int MAX_CHAT_EVENTS = 191;
  private static final int REPORT_EVENTS = 10;
  private static final int BACKLOG = 512;
  private static final double PAUSED_PART = 0.2;

  /** Shorter than the gap after which callers abandon a stream. */
  private static final Duration MAX_PAUSE = Duration.ofSeconds(3);

  /**
   * Says how an endpoint fails. Immutable and thread safe.
   *
   * @param failed the share of requests that it answers with 500 after it has run them
   * @param shed the share that it refuses without running them
   * @param brokenOff the share whose connection it ends early
   */
  record Trouble(double failed, double shed, double brokenOff) {
    static final Trouble NONE = new Trouble(0, 0, 0);
  }

  private final String id;
  private final String address;
  private final String service;
  private final int region;
  private final List<String> controls;
  private final InstantSource time;
  private final History history;
  private final SplittableRandom random;
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener = new ServerSocket();
  private volatile Trouble trouble = Trouble.NONE;
  private volatile boolean ended;

  Endpoint(
      String id,
      String address,
      String service,
      int region,
      List<String> controls,
      SplittableRandom random,
      InstantSource time,
      History history)
      throws IOException {
    this.id = id;
    this.address = address;
    this.service = service;
    this.region = region;
    this.controls = controls;
    this.random = random;
    this.time = time;
    this.history = history;
    int colon = address.lastIndexOf(':');
    listener.setReuseAddress(true);
    listener.bind(
        new InetSocketAddress(
            InetAddress.ofLiteral(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1))),
        BACKLOG);
  }

  void start() {
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::announce);
  }

  void setTrouble(Trouble next) {
    trouble = next;
  }

  @Override
  public void close() throws IOException {
    ended = true;
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void announce() {
    int control = 0;
    try {
      while (!ended) {
        if (!tryAnnounce(controls.get(control))) {
          control = (control + 1) % controls.size();
        }
        Thread.sleep(HEARTBEAT_PERIOD);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean tryAnnounce(String control) {
    String body =
        """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":128,"state":"ready",\
        "coldRemainingMs":0,"seq":%d,"born":%d}"""
            .formatted(service, address, Deployment.zone(region), sequence.incrementAndGet(), born);
    try {
      return Http1.call(control, "POST", "/api/Instances.Heartbeat/" + id, body, HEARTBEAT_TIMEOUT)
              .head()
              .status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private void accept() {
    try {
      while (!ended) {
        Socket socket = listener.accept();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The endpoint has been closed.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      boolean goesOn = true;
      while (goesOn) {
        Http1.Head head = Http1.readHead(in);
        byte[] _ = Http1.readBody(in, head);
        goesOn = answer(socket, head);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  /** Answers a request, and returns whether the connection goes on. */
  private boolean answer(Socket socket, Http1.Head head) throws IOException, InterruptedException {
    String request = head.header("attempt-id");
    Instant at = time.instant();
    if (!head.header("expect-instance").equals(id)) {
      writeWhole(socket, 421, request, "Not-Executed: 1\r\n", "");
      return true;
    }
    Trouble now = trouble;
    double draw = draw();
    if (draw < now.shed()) {
      history.add(new History.Arrival(request, id, at, at, false, false));
      writeWhole(socket, 503, request, "Not-Executed: 1\r\n", "");
      return true;
    }
    boolean breaksOff = draw() < now.brokenOff();
    boolean fails = !breaksOff && draw() < now.failed();
    try {
      return run(socket, head, request, breaksOff, fails);
    } finally {
      history.add(new History.Arrival(request, id, at, time.instant(), true, breaksOff));
    }
  }

  private boolean run(
      Socket socket, Http1.Head head, String request, boolean breaksOff, boolean fails)
      throws IOException, InterruptedException {
    Route route = Route.ofPath(head.secondWord());
    if (fails || !route.isStream()) {
      Thread.sleep(PLAIN_WORK);
      if (breaksOff) {
        return false;
      }
      writeWhole(socket, fails ? 500 : 200, request, "Response-Stamp: s\r\n", "done " + request);
      return true;
    }
    return stream(socket, head, request, route, breaksOff);
  }

  private boolean stream(
      Socket socket, Http1.Head head, String request, Route route, boolean breaksOff)
      throws IOException, InterruptedException {
    int events = eventCount(route, request);
    String lastSeen = head.header("last-event-id");
    int first = lastSeen.isEmpty() ? 1 : Integer.parseInt(lastSeen) + 1;
    Thread.sleep(FIRST_EVENT_DELAY);
    String start =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    Http1.write(
        socket, start + "Attempt-Id: " + request + "\r\nResponse-Stamp: s\r\n\r\n", new byte[0]);
    for (int event = first; event <= events; event++) {
      if (event == events / 2) {
        Thread.sleep(pauseOf(request));
        if (breaksOff) {
          return false;
        }
      }
      Http1.write(socket, "", Http1.chunk("id: " + event + "\ndata: " + request + "\n\n"));
      Thread.sleep(EVENT_GAP);
    }
    Http1.write(socket, "0\r\n\r\n", new byte[0]);
    return true;
  }

  /** Returns how many events the response to a request has. */
  static int eventCount(Route route, String request) {
    if (route == Route.REPORT) {
      return REPORT_EVENTS;
    }
    double draw = new SplittableRandom(request.hashCode()).nextDouble();
    long events = Math.round(-Math.log(1 - draw) * MEAN_CHAT_EVENTS);
    return Math.clamp(events, 1, MAX_CHAT_EVENTS);
  }

  /** Returns how long a sound endpoint is silent in the middle of a stream; mostly not at all. */
  private static Duration pauseOf(String request) {
    SplittableRandom pauses = new SplittableRandom(~request.hashCode());
    return pauses.nextDouble() < PAUSED_PART
        ? Duration.ofMillis(pauses.nextLong(MAX_PAUSE.toMillis()))
        : Duration.ZERO;
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private static void writeWhole(
      Socket socket, int status, String request, String headers, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    Http1.write(
        socket,
        "HTTP/1.1 "
            + status
            + " X\r\nAttempt-Id: "
            + request
            + "\r\n"
            + headers
            + "Content-Length: "
            + bytes.length
            + "\r\n\r\n",
        bytes);
  }
}
