import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests of one client over a kept connection. Confined to one thread. */
final class Client implements AutoCloseable {

  private static final AtomicLong NEXT = new AtomicLong();

  private final Lab lab;
  private final Lab.Host front;
  private Socket socket;

  /** What became of a request; a status of 0 tells that no answer came. */
  record Outcome(String id, double sentAt, double endedAt, int status, String body, String why,
      boolean serverLeaving, String stamp) {}

  Client(Lab lab, Lab.Host front) {
    this.lab = lab;
    this.front = front;
  }

  static String newId() {
    return "%016x".formatted(0x5000_0000L + NEXT.incrementAndGet());
  }

  /** Sends a request and waits for its answer. */
  Outcome send(String path, byte[] body, int deadlineMillis) {
    String id = newId();
    double sentAt = lab.seconds();
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(Lab.endpoint(front.front()), 1_000);
      }
      socket.setSoTimeout(deadlineMillis);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Attempt-Id", id);
      headers.put("Deadline-Ms", Integer.toString(deadlineMillis));
      headers.put("X-Api-Key", Documents.KEY);
      Http.send(socket, "POST", path, Documents.HOST, headers, body);
      Http.Response response = Http.read(socket.getInputStream());
      if (response.header("Connection").equalsIgnoreCase("close")) {
        close();
      }
      Outcome outcome =
          new Outcome(id, sentAt, lab.seconds(), response.status, new String(response.body), "",
              response.header("Server-Leaving").equals("1"), response.header("Response-Stamp"));
      lab.log("answer " + id + " by " + front.name + ": " + response.status
          + (outcome.serverLeaving() ? " (its server leaves)" : ""));
      return outcome;
    } catch (IOException e) {
      close();
      lab.log("answer " + id + " by " + front.name + ": none, " + e.getMessage());
      return new Outcome(id, sentAt, lab.seconds(), 0, "", String.valueOf(e.getMessage()), false,
          "");
    }
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Nothing is left to close.
    }
    socket = null;
  }
}
