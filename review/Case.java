import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs one case: starts the programs, and exits with 1 if the rule was broken, 0 if it held and 2
 * if the case could not run.
 */
public final class Case {

  static final Map<String, String> ZONES = new LinkedHashMap<>();
  static final Map<String, Object> BOUNDS =
      Map.of(
          "graceS", 8,
          "quotaOvershoot", 0.1,
          "quotaSlack", 72000.0,
          "exposureShare", 0.1,
          "exposureSlack", 50,
          "revokeMs", 5000,
          "retryBudgetRatio", 0.2,
          "retryBudgetExtra", 52);

  static {
    ZONES.put("dakar-a", "dakar");
    ZONES.put("dakar-b", "dakar");
    ZONES.put("kaolack-a", "kaolack");
  }

  private Case() {}

  /** What a case needs. */
  interface Body {
    /** Returns whether the rule held. */
    boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception;
  }

  /** Arguments: the name of the case, the root of the project and the folder of the case. */
  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[1]).toAbsolutePath().normalize();
    Path folder = Path.of(args[2]).toAbsolutePath().normalize();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Body body =
        switch (args[0]) {
          case "memory" -> new MemoryCase();
          case "evacuation" -> new EvacuationCase();
          case "quorum" -> new QuorumCase();
          case "disks" -> new DisksCase();
          case "stream" -> new StreamCase();
          default -> throw new IllegalArgumentException(args[0]);
        };
    int code = 2;
    try (Journal journal = new Journal(folder.resolve("record.txt"))) {
      Path temporary = Files.createTempDirectory("review");
      Fleet fleet = new Fleet(root, temporary, journal, ZONES, BOUNDS);
      Thread ender = new Thread(() -> closeQuietly(fleet));
      Runtime.getRuntime().addShutdownHook(ender);
      try {
        journal.line("%s, %s the disruption", args[0], trouble ? "with" : "without");
        code = body.run(fleet, journal, trouble) ? 0 : 1;
        journal.line(code == 0 ? "the rule held" : "THE RULE WAS BROKEN");
      } catch (CannotRun e) {
        journal.line("the case could not run: %s", e.getMessage());
      } catch (Exception e) {
        journal.line("the case could not run: %s", e);
      } finally {
        fleet.close();
      }
    }
    Runtime.getRuntime().halt(code);
  }

  /** Says that the case could not get as far as its check. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  static void require(boolean condition, String message) throws CannotRun {
    if (!condition) {
      throw new CannotRun(message);
    }
  }

  /** Starts three control hosts, one a zone, that found the system. */
  static List<Fleet.Machine> startCore(Fleet fleet, int count) throws Exception {
    List<String> zones = new ArrayList<>(ZONES.keySet());
    List<Fleet.Machine> core = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      core.add(fleet.add("core-" + (i + 1), "control", zones.get(i % zones.size())));
    }
    fleet.seeds(core.subList(0, 3));
    for (Fleet.Machine machine : core) {
      machine.start(true);
    }
    return core;
  }

  /** Waits until the gateway serves a request. */
  static void awaitService(Client client, Fleet.Machine gateway, int forMs)
      throws CannotRun, InterruptedException {
    long end = System.nanoTime() + forMs * 1_000_000L;
    while (client.send(gateway, 2000) != 200) {
      require(System.nanoTime() < end, gateway.name + " never served a request");
      Thread.sleep(200);
    }
  }

  /** Sends ten requests a second until it is told to end. */
  static void load(
      Client client, Fleet.Machine gateway, java.util.concurrent.atomic.AtomicBoolean ended) {
    while (!ended.get()) {
      Thread.startVirtualThread(() -> client.send(gateway, 5000));
      try {
        Thread.sleep(100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void closeQuietly(Fleet fleet) {
    try {
      fleet.close();
    } catch (java.io.IOException e) {
      System.err.println(e);
    }
  }
}
