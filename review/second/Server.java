import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound server of one service, as the pages describe it: it announces itself to control, runs
 * requests that name it, and says in its answers when it leaves. Thread safe.
 */
final class Server implements AutoCloseable {

  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int ACK_TIMEOUT_MILLIS = 1_000;

  /** One request that this server began to run. */
  record Run(String id, String gateway, double at) {}

  final String id;
  final String address;
  private final Lab lab;
  private final String service;
  private final String zone;
  private final String version;
  private final int workMillis;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener;
  private final AtomicLong sequence = new AtomicLong();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<Run> runs = new ArrayList<>();
  final AtomicInteger running = new AtomicInteger();
  private int daemon;
  volatile boolean cutFromControl;
  volatile boolean leaving;
  volatile boolean drainAcknowledged;
  private volatile boolean ended;

  /** Which part of the requests that it has run this server answers with 503. */
  volatile double failingPart;

  Server(Lab lab, String id, String ip, int port, String service, String zone, int workMillis)
      throws IOException {
    this(lab, id, ip, port, service, zone, "v1", workMillis);
  }

  Server(
      Lab lab,
      String id,
      String ip,
      int port,
      String service,
      String zone,
      String version,
      int workMillis)
      throws IOException {
    this.version = version;
    this.lab = lab;
    this.id = id;
    this.address = ip + ":" + port;
    this.service = service;
    this.zone = zone;
    this.workMillis = workMillis;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(ip, port), 128);
    Thread.ofVirtual().start(this::accept);
    Thread.ofPlatform().daemon().start(this::announce);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Says from now on, in heartbeats and answers, that this server leaves. */
  void leave() {
    lab.log(id + " begins to leave");
    leaving = true;
  }

  /** Ends the server: its connections end with it. */
  @Override
  public void close() {
    ended = true;
    lab.log(id + " exits with " + running.get() + " requests in hand");
    try {
      listener.close();
      for (Socket socket : open) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      lab.log(id + ": " + e);
    }
  }

  private void announce() {
    boolean soon = false;
    while (!ended) {
      boolean wasLeaving = leaving;
      boolean acknowledged = beat(wasLeaving);
      if (acknowledged && wasLeaving && !drainAcknowledged) {
        drainAcknowledged = true;
        lab.log(id + ": control acknowledged that it is draining");
      }
      try {
        for (int slept = 0; slept < HEARTBEAT_MILLIS && leaving == wasLeaving; slept += 20) {
          Thread.sleep(20);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one heartbeat, to the next daemon if one does not acknowledge it. */
  private boolean beat(boolean draining) {
    String body =
        """
        {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":64,"state":"%s",\
        "coldRemainingMs":0,"seq":%d,"born":%d}"""
            .formatted(
                service, address, zone, version, draining ? "draining" : "ready",
                sequence.incrementAndGet(), born);
    for (int attempt = 0; attempt < 3 && !ended; attempt++) {
      Lab.Host host = lab.core().get(Math.floorMod(daemon, lab.core().size()));
      // Behind a cut nothing answers: the call takes its time-out.
      if (cutFromControl) {
        if (draining) {
          lab.log(id + ": its draining heartbeat gets no answer behind the cut");
        }
        sleep(ACK_TIMEOUT_MILLIS);
      } else {
        try {
          Http.Response response =
              Http.call(
                  host.control(),
                  "POST",
                  "/api/Instances.Heartbeat/" + id,
                  "control",
                  Map.of("Content-Type", "application/json"),
                  body.getBytes(StandardCharsets.UTF_8),
                  ACK_TIMEOUT_MILLIS);
          if (response.status / 100 == 2) {
            return true;
          }
        } catch (IOException e) {
          // The next daemon is asked.
        }
      }
      daemon++;
    }
    return false;
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!ended) {
      try {
        Socket socket = listener.accept();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      while (!ended) {
        Http.Head head = Http.readHead(in);
        Http.readBody(in, head, false);
        answer(socket, head);
      }
    } catch (IOException | RuntimeException e) {
      // The connection has ended.
    } finally {
      open.remove(socket);
    }
  }

  private void answer(Socket socket, Http.Head head) throws IOException {
    String[] first = head.first().split(" ");
    String request = head.header("Attempt-Id");
    if (first[1].equals("/health")) {
      write(socket, leaving ? 503 : 200, "Instance-Id: " + id, "");
      return;
    }
    if (!head.header("Expect-Instance").isEmpty() && !head.header("Expect-Instance").equals(id)) {
      write(socket, 421, "Attempt-Id: " + request, "");
      return;
    }
    Run run = new Run(request, head.header("Tenant"), lab.seconds());
    synchronized (this) {
      runs.add(run);
    }
    running.incrementAndGet();
    lab.log("run " + request + " at " + id + (leaving ? " (leaving)" : ""));
    try {
      sleep(workMillis);
      if (ThreadLocalRandom.current().nextDouble() < failingPart) {
        lab.log("failed " + request + " at " + id + " after its run: 503");
        write(
            socket, 503, "Attempt-Id: " + request + "\r\nResponse-Stamp: s." + id + "." + request,
            "the work is done, but the reply could not be made");
        return;
      }
      write(
          socket,
          200,
          "Attempt-Id: " + request + "\r\nResponse-Stamp: s." + id + "." + request
              + (leaving ? "\r\nServer-Leaving: 1" : ""),
          "done " + request);
    } finally {
      running.decrementAndGet();
    }
  }

  private static void write(Socket socket, int status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    OutputStream out = socket.getOutputStream();
    out.write(
        ("HTTP/1.1 " + status + " X\r\n" + headers + "\r\nContent-Length: " + bytes.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.flush();
  }
}
