import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One server fails part of its requests with 503 after it has run them, without the header that
 * says that it has not. Checks that no unsafe request that has run is answered with a status that
 * promises the opposite.
 */
final class GreyCase {

  private static final int SERVERS = 7;
  private static final int CLIENTS_PER_FRONT = 4;
  private static final double FAILING_PART = 0.45;
  private static final int GREY_MILLIS = 6_500;
  private static final int WORK_MILLIS = 50;
  private static final int PAUSE_MILLIS = 100;
  private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

  private GreyCase() {}

  public static void main(String[] args) {
    Lab.run(args, GreyCase::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    lab.startCore();
    List<Lab.Host> fronts = List.of(lab.startFront("zone-a"), lab.startFront("zone-b"));
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new Server(lab, "i-desk-" + (i + 1), lab.address(60 + i), lab.port(30), "desk",
              Lab.ZONES[i % 3], WORK_MILLIS));
    }
    lab.configure();
    List<Client.Outcome> outcomes = new CopyOnWriteArrayList<>();
    List<Thread> clients = new ArrayList<>();
    double end = lab.seconds() + 12;
    for (Lab.Host front : fronts) {
      for (int i = 0; i < CLIENTS_PER_FRONT; i++) {
        clients.add(Thread.startVirtualThread(() -> sendUntil(lab, front, end, outcomes)));
      }
    }
    Thread.sleep(2_000);
    Server grey = servers.getFirst();
    if (Lab.TROUBLE) {
      lab.log(grey.id + " begins to fail requests after their run; its health check stays good");
      grey.failingPart = FAILING_PART;
    }
    Thread.sleep(GREY_MILLIS);
    grey.failingPart = 0;
    lab.log("no server fails any more");
    for (Thread client : clients) {
      client.join();
    }
    return judge(lab, servers, outcomes);
  }

  /** Sends each piece of work until it is done; repeats it once, and only after a promise. */
  private static void sendUntil(
      Lab lab, Lab.Host front, double end, List<Client.Outcome> outcomes) {
    try (Client client = new Client(lab, front)) {
      while (lab.seconds() < end) {
        Client.Outcome first = client.send("/book/1", new byte[100], 5_000);
        outcomes.add(first);
        if (PROMISES.contains(first.status())) {
          client.close();
          Client.Outcome second = client.send("/book/1", new byte[100], 4_000);
          outcomes.add(second);
          lab.log("the work of " + first.id() + " was sent again as " + second.id());
        }
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean judge(Lab lab, List<Server> servers, List<Client.Outcome> outcomes) {
    Map<String, String> ranAt = new HashMap<>();
    servers.forEach(server -> server.runs().forEach(run -> ranAt.put(run.id(), server.id)));
    long answered = outcomes.stream().filter(outcome -> outcome.status() == 200).count();
    lab.log(outcomes.size() + " requests, " + answered + " answered with 200");
    if (answered < 100) {
      throw new Lab.CannotRun("too few requests were served to judge");
    }
    int broken = 0;
    for (Client.Outcome outcome : outcomes) {
      String server = ranAt.get(outcome.id());
      if (server != null && PROMISES.contains(outcome.status())) {
        broken++;
        lab.log("broken: %s was answered with %d and has run at %s"
            .formatted(outcome.id(), outcome.status(), server));
      }
    }
    lab.log(broken + " requests were said not to have run, though they had");
    return broken == 0;
  }
}
