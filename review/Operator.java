import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Calls the control hosts as the platform's operator does: one after another, a second each. */
final class Operator {

  private static final int PATIENCE_MS = 1000;

  private final Journal journal;
  private List<Fleet.Machine> controls;

  Operator(Journal journal, List<Fleet.Machine> controls) {
    this.journal = journal;
    this.controls = new ArrayList<>(controls);
  }

  void controls(List<Fleet.Machine> list) {
    controls = new ArrayList<>(list);
  }

  /** Sends one call to one control host; returns null if no answer came in time. */
  Http.Message once(Fleet.Machine at, String method, String path, String body) {
    return once(at, method, path, body, PATIENCE_MS);
  }

  Http.Message once(Fleet.Machine at, String method, String path, String body, int ms) {
    try {
      Map<String, String> headers =
          body.isEmpty() ? Map.of() : Map.of("Content-Type", "application/json");
      return Http.call(at.control(), method, path, headers, body.getBytes("UTF-8"), ms);
    } catch (IOException e) {
      return null;
    }
  }

  /** Sends an order until a host acknowledges it; returns false if none does in time. */
  boolean order(String what, String path, String body, int forMs, boolean loud)
      throws InterruptedException {
    long end = System.nanoTime() + forMs * 1_000_000L;
    for (int i = 0; System.nanoTime() < end; i++) {
      Fleet.Machine at = controls.get(i % controls.size());
      Http.Message answer = once(at, "POST", path, body);
      if (loud) {
        journal.line("operator: %s at %s: %s", what, at.name, describe(answer));
      } else {
        journal.quiet("operator: %s at %s: %s", what, at.name, describe(answer));
      }
      if (answer != null && answer.status() == 200) {
        return true;
      }
      if (answer != null && answer.status() >= 400 && answer.status() < 500) {
        return false;
      }
      Thread.sleep(100);
    }
    return false;
  }

  static String describe(Http.Message answer) {
    if (answer == null) {
      return "no answer";
    }
    String text = answer.text();
    return answer.status() + " " + (text.length() > 80 ? text.substring(0, 80) + ".." : text);
  }
}
