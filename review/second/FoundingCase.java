import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One of the three core machines is gone for good in the first second of the first start, and an
 * empty one comes at another address. Checks that the first configuration is acknowledged and read
 * back once more than half of the core has run for long enough.
 */
final class FoundingCase {

  /** When the machine goes, after the start of the processes. */
  private static final double GONE_AT_S = 0.5;

  /** How much later the empty machine comes: x of replace_core. */
  private static final double SUCCESSOR_AFTER_S = 2.0;

  private static final double CONTACT_S = 5;
  private static final double ACK_S = 6;

  /** How long the operator goes on after the bound, so that a slow machine breaks no rule. */
  private static final double EXTRA_S = 45;

  private FoundingCase() {}

  public static void main(String[] args) {
    Lab.run(args, FoundingCase::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    lab.startCore();
    double startedAt = lab.seconds();
    double stableAt = startedAt + CONTACT_S;
    if (Lab.TROUBLE) {
      sleepUntil(lab, startedAt + GONE_AT_S);
      lab.core().get(2).signal("KILL");
      sleepUntil(lab, startedAt + GONE_AT_S + SUCCESSOR_AFTER_S);
      lab.startSuccessor(lab.core().get(2));
      stableAt = lab.seconds() + CONTACT_S;
    }
    lab.log("the core counts as stable from %.1f s on".formatted(stableAt));
    double boundAt = stableAt + ACK_S;
    int attempt = 0;
    boolean acknowledged = false;
    while (!acknowledged && lab.seconds() < boundAt + EXTRA_S) {
      Lab.Host host = lab.runningCore().get(attempt++ % lab.runningCore().size());
      acknowledged = replace(lab, host);
      Thread.sleep(500);
    }
    lab.log(
        acknowledged
            ? "acknowledged after %.1f s; the bound was %.1f s".formatted(lab.seconds(), boundAt)
            : "broken: no acknowledgement %.0f s after the bound".formatted(EXTRA_S));
    boolean readBack = false;
    for (Lab.Host host : lab.runningCore()) {
      readBack |= read(lab, host);
    }
    lab.log(readBack ? "the configuration was read back" : "broken: no host can be read");
    return acknowledged && readBack;
  }

  private static void sleepUntil(Lab lab, double at) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) ((at - lab.seconds()) * 1_000)));
  }

  private static boolean replace(Lab lab, Lab.Host host) {
    byte[] body = Documents.configuration(1).getBytes(StandardCharsets.UTF_8);
    return call(lab, host, "POST", "/api/Config.Replace", body) == 200;
  }

  private static boolean read(Lab lab, Lab.Host host) {
    return call(lab, host, "GET", "/api/Config.Read", new byte[0]) == 200;
  }

  private static int call(Lab lab, Lab.Host host, String method, String path, byte[] body) {
    try {
      Http.Response response =
          Http.call(host.control(), method, path, "operator", Map.of(), body, 2_000);
      lab.log(
          path + " at " + host.name + ": " + response.status
              + (response.status == 200 ? "" : " " + new String(response.body).strip()));
      return response.status;
    } catch (IOException e) {
      lab.log(path + " at " + host.name + ": " + e.getMessage());
      return 0;
    }
  }
}
