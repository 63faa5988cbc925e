import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A rollout of a good version completes and the old servers are stopped; then all processes of the
 * system are killed and started again, with their disks. Checks that the rollout isn't taken back
 * and that requests are served again.
 */
final class RolloutCase {

  private static final int SERVERS = 4;
  private static final int CLIENTS_PER_FRONT = 8;
  private static final int WORK_MILLIS = 20;
  private static final int PAUSE_MILLIS = 40;
  private static final double DURATION_S = 16.4;
  private static final double DOWN_S = 1;
  private static final double RECOVERY_S = 12;
  private static final double JUDGED_S = 8;
  private static final Pattern STATE = Pattern.compile("\"state\":\"([a-z_]+)\"");

  private RolloutCase() {}

  public static void main(String[] args) {
    Lab.run(args, RolloutCase::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    lab.startCore();
    List<Lab.Host> fronts = List.of(lab.startFront("zone-a"), lab.startFront("zone-b"));
    List<Server> old = start(lab, "v1", 60);
    lab.configure();
    AtomicInteger stop = new AtomicInteger();
    List<Client.Outcome> outcomes = new CopyOnWriteArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (Lab.Host front : fronts) {
      for (int i = 0; i < CLIENTS_PER_FRONT; i++) {
        clients.add(Thread.startVirtualThread(() -> send(lab, front, stop, outcomes)));
      }
    }
    Thread.sleep(3_000);
    double orderedAt = lab.seconds();
    start(lab, "v2", 80);
    Lab.Host asked = lab.leader();
    int status =
        call(lab, asked, "POST", "/api/Rollouts.Begin",
            "{\"service\":\"desk\",\"target\":\"v2\",\"durationS\":" + DURATION_S + "}").status;
    if (status != 200 || !awaitCompleted(lab, orderedAt + DURATION_S + 5)) {
      throw new Lab.CannotRun("the rollout did not complete in time");
    }
    lab.log("the operator reads that the rollout is completed; the old servers stop");
    old.forEach(Server::close);
    Thread.sleep(3_000);
    double served = share(lab, outcomes, lab.seconds() - 2, lab.seconds());
    lab.log("served before the fault: %.2f".formatted(served));
    if (Lab.TROUBLE) {
      killAll(lab);
    }
    double recoveredAt = lab.seconds() + RECOVERY_S;
    Thread.sleep((long) ((RECOVERY_S + JUDGED_S) * 1_000));
    List<String> states = new ArrayList<>();
    for (Lab.Host host : lab.core()) {
      states.add(state(lab, host));
    }
    double servedAfter = share(lab, outcomes, recoveredAt, lab.seconds() - 1);
    stop.set(1);
    for (Thread client : clients) {
      client.join();
    }
    lab.log("states read at the end: " + states);
    lab.log("served later than recoveryS after the machines are back: %.2f".formatted(servedAfter));
    boolean lost = states.contains("rolled_back");
    boolean recovers = servedAfter >= 0.25 || served < 0.25;
    lab.log((lost ? "broken: " : "") + "LOST: what was acknowledged as completed is "
        + (lost ? "rolled back" : "not rolled back"));
    lab.log((recovers ? "" : "broken: ") + "RECOVER: "
        + (recovers ? "a quarter or more" : "less than a quarter") + " is served");
    return !lost && recovers;
  }

  private static List<Server> start(Lab lab, String version, int lastByte) throws IOException {
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new Server(lab, "i-" + version + "-" + (i + 1), lab.address(lastByte + i), lab.port(30),
              "desk", Lab.ZONES[i % 3], version, WORK_MILLIS));
    }
    return servers;
  }

  /** Kills every process of the system at the same moment, and starts each again. */
  private static void killAll(Lab lab) throws Exception {
    List<Lab.Host> all = new ArrayList<>(lab.core());
    all.addAll(lab.fronts());
    all.forEach(host -> host.signal("KILL"));
    for (Lab.Host host : all) {
      host.awaitEnd();
    }
    Thread.sleep((long) (DOWN_S * 1_000));
    for (Lab.Host host : lab.core()) {
      lab.start(host, false);
    }
    for (Lab.Host host : lab.fronts()) {
      lab.start(host, false);
      lab.await("the listener of " + host.name, 40, () -> Lab.connects(host.front()));
    }
  }

  /** Reads the state at the core hosts in turn until one says that the rollout is completed. */
  private static boolean awaitCompleted(Lab lab, double until) throws InterruptedException {
    for (int i = 0; lab.seconds() < until; i++) {
      if (state(lab, lab.core().get(i % 3)).equals("completed")) {
        return true;
      }
      Thread.sleep(300);
    }
    return false;
  }

  private static String state(Lab lab, Lab.Host host) {
    try {
      Matcher state =
          STATE.matcher(new String(call(lab, host, "GET", "/api/Rollouts.Read/desk", "").body));
      return state.find() ? state.group(1) : "none";
    } catch (IOException e) {
      return "no answer";
    }
  }

  private static Http.Response call(
      Lab lab, Lab.Host host, String method, String path, String body) throws IOException {
    Http.Response response =
        Http.call(host.control(), method, path, "operator", Map.of(),
            body.getBytes(StandardCharsets.UTF_8), 2_000);
    lab.log(method + " " + path + " " + body + " at " + host.name + ": " + response.status + " "
        + new String(response.body).strip());
    return response;
  }

  private static void send(
      Lab lab, Lab.Host front, AtomicInteger stop, List<Client.Outcome> outcomes) {
    try (Client client = new Client(lab, front)) {
      while (stop.get() == 0) {
        outcomes.add(client.send("/book/1", new byte[100], 2_000));
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the share of the requests sent in a span that were answered with success. */
  private static double share(
      Lab lab, List<Client.Outcome> outcomes, double from, double to) {
    long all = outcomes.stream().filter(o -> o.sentAt() >= from && o.sentAt() < to).count();
    long good =
        outcomes.stream()
            .filter(o -> o.sentAt() >= from && o.sentAt() < to && o.status() == 200)
            .count();
    lab.log("from %.1f to %.1f s: %d of %d requests served".formatted(from, to, good, all));
    return all == 0 ? 0 : (double) good / all;
  }
}
