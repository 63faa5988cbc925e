import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests of the used route, each on a connection of its own. */
final class Client {

  private static final AtomicInteger NUMBERS = new AtomicInteger();
  private final Journal journal;
  private final String prefix;

  Client(Journal journal, String prefix) {
    this.journal = journal;
    this.prefix = prefix;
  }

  /** Sends one request; returns the status, or 0 if there was no answer. */
  int send(Fleet.Machine gateway, int deadlineMs) {
    String attempt = prefix + NUMBERS.incrementAndGet();
    journal.quiet("client: sends %s to %s", attempt, gateway.name);
    int status;
    try {
      Http.Message answer =
          Http.call(
              gateway.front(),
              "POST",
              "/pule252/2f",
              Map.of(
                  "Host", Config.HOST,
                  "Attempt-Id", attempt,
                  "Deadline-Ms", Integer.toString(deadlineMs),
                  "X-Api-Key", Config.KEY),
              "{\"sacks\":1}".getBytes(),
              deadlineMs);
      status = answer == null ? 0 : answer.status();
    } catch (IOException e) {
      status = 0;
    }
    journal.quiet("client: %s answered %d", attempt, status);
    return status;
  }

  /**
   * Asks for a stream; returns "whole", "cut" if the connection ended within the answer, or else
   * the status.
   */
  String stream(Fleet.Machine gateway) {
    String attempt = prefix + NUMBERS.incrementAndGet();
    Map<String, String> headers =
        Map.of(
            "Host", Config.HOST,
            "Attempt-Id", attempt,
            "Deadline-Ms", "15000",
            "Model", "m",
            "Token-Count", "1460,80",
            "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            "X-Api-Key", Config.KEY);
    journal.quiet("client: asks %s for stream %s", gateway.name, attempt);
    String end;
    try (Socket socket = new Socket()) {
      socket.connect(Http.parse(gateway.front()), 1000);
      // Clients leave a stream after a pause of 4.8 s: eight times the pause that is on time.
      socket.setSoTimeout(4800);
      byte[] body = "{\"roster\":1}".getBytes();
      Http.write(socket.getOutputStream(), "POST", "/lohu930/2f", headers, body);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (answer != null && answer.status() == 200) {
        end = answer.text().contains("id: " + Server.EVENTS + "\n") ? "whole" : "too short";
      } else {
        end = answer == null ? "closed" : Integer.toString(answer.status());
      }
    } catch (EOFException e) {
      end = "cut";
    } catch (IOException e) {
      end = "client left: " + e.getMessage();
    }
    journal.line("client: stream %s ended: %s", attempt, end);
    return end;
  }
}
