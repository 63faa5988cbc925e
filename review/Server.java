import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A sound server: announces itself, runs requests that are meant for it, and signs its answers. */
final class Server implements AutoCloseable {

  static final int EVENTS = 12;
  private static final int EVENTS_BETWEEN_PAUSES = 4;
  private static final int EVENT_MS = 50;
  private static final int BEAT_MS = 1200;

  final String id;
  final String zone;
  final String address;
  final AtomicInteger runs = new AtomicInteger();
  final Map<String, Integer> runsOf = new ConcurrentHashMap<>();
  private final String service;
  private final Journal journal;
  private final List<Fleet.Machine> controls;
  private final ServerSocket socket;
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean closed;
  private volatile boolean leaving;
  volatile long workMs = 15;

  /** How long a stream waits after each {@link #EVENTS_BETWEEN_PAUSES} events; 0 is not at all. */
  volatile long pauseMs;

  Server(
      String id,
      String service,
      String zone,
      String ip,
      List<Fleet.Machine> controls,
      Journal journal)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.controls = controls;
    this.journal = journal;
    this.socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 18080), 256);
    this.address = ip + ":18080";
    Thread.startVirtualThread(this::accept);
    Thread.startVirtualThread(this::announce);
  }

  private void announce() {
    int at = Math.floorMod(id.hashCode(), controls.size());
    while (!closed && !leaving) {
      boolean taken = false;
      for (int i = 0; i < controls.size() && !taken && !closed; i++) {
        taken = beat(controls.get((at + i) % controls.size()));
        at = taken ? at + i : at;
      }
      try {
        Thread.sleep(BEAT_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Says at the control host that the server drains; returns whether that was acknowledged. */
  boolean leave(Fleet.Machine control) {
    leaving = true;
    return beat(control);
  }

  private boolean beat(Fleet.Machine control) {
    String body =
        String.format(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"%s\",\"coldRemainingMs\":0,\"born\":%d,\"seq\":%d}",
            service,
            address,
            zone,
            leaving ? "draining" : "ready",
            born,
            sequence.incrementAndGet());
    try {
      Http.Message answer =
          Http.call(
              control.control(),
              "POST",
              "/api/Instances.Heartbeat/" + id,
              Map.of("Content-Type", "application/json"),
              body.getBytes(StandardCharsets.UTF_8),
              1000);
      return answer != null && answer.status() / 100 == 2;
    } catch (IOException e) {
      return false;
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket connection = socket.accept();
        Thread.startVirtualThread(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, out);
      }
    } catch (IOException | InterruptedException e) {
      // The caller has left.
    }
  }

  private void answer(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String attempt = request.header("Attempt-Id");
    String expected = request.header("Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      send(out, "421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: " + attempt, "");
      return;
    }
    runs.incrementAndGet();
    runsOf.merge(attempt, 1, Integer::sum);
    journal.quiet("server %s (%s): runs %s, key of %s", id, zone, attempt, request.header("Tenant"));
    if (request.start()[1].startsWith("/lohu930/")) {
      stream(attempt, request.header("Last-Event-Id"), out);
      return;
    }
    Thread.sleep(workMs);
    send(
        out,
        "200 OK",
        "Attempt-Id: " + attempt + "\r\nResponse-Stamp: stamp." + attempt,
        "done by " + id);
  }

  /** Sends the events after the given one; waits at times, as an engine that preempts a request. */
  private void stream(String attempt, String lastEvent, OutputStream out)
      throws IOException, InterruptedException {
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: stamp." + attempt
                + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    int first = lastEvent == null ? 1 : Integer.parseInt(lastEvent) + 1;
    for (int id = first; id <= EVENTS; id++) {
      chunk("id: " + id + "\ndata: tokens of event " + id + "\n\n", out);
      journal.quiet("server %s: event %d of %s", this.id, id, attempt);
      Thread.sleep(EVENT_MS);
      if (id % EVENTS_BETWEEN_PAUSES == 0 && id < EVENTS) {
        Thread.sleep(pauseMs);
      }
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    journal.quiet("server %s: whole answer of %s sent", this.id, attempt);
  }

  private static void chunk(String text, OutputStream out) throws IOException {
    out.write(
        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void send(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        ("HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length()
                + "\r\nKeep-Alive: timeout=5\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    socket.close();
  }
}
