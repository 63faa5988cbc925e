import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server that leaves is cut off from control, and only its answers tell that it leaves. Checks
 * that no gateway sends it a request that a client sent later than drainMs after that gateway
 * passed such an answer on.
 */
final class LeavingCase {

  private static final int SERVERS = 5;
  private static final int CLIENTS_PER_FRONT = 8;
  private static final double DRAIN_S = 3;
  private static final double CUT_S = 5;

  /** How long the server goes on after it began to leave: longer than drainMs and a second. */
  private static final double EXIT_AFTER_S = 4.7;

  private static final int WORK_MILLIS = 400;
  private static final int PAUSE_MILLIS = 100;

  private LeavingCase() {}

  public static void main(String[] args) {
    Lab.run(args, LeavingCase::holds);
  }

  /** An outcome with the gateway that took the request. */
  private record Seen(String front, Client.Outcome outcome) {}

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
    List<Seen> seen = new CopyOnWriteArrayList<>();
    List<Thread> clients = new ArrayList<>();
    double end = lab.seconds() + 14;
    for (Lab.Host front : fronts) {
      for (int i = 0; i < CLIENTS_PER_FRONT; i++) {
        clients.add(Thread.startVirtualThread(() -> sendUntil(lab, front, end, seen)));
      }
    }
    Thread.sleep(3_000);
    Server leaver = servers.getFirst();
    if (Lab.TROUBLE) {
      lab.log("the cut begins: " + leaver.id + " can't reach control, all else can");
      leaver.cutFromControl = true;
    }
    double cutAt = lab.seconds();
    Thread.sleep(200);
    leaver.leave();
    Thread.sleep((long) (EXIT_AFTER_S * 1_000));
    leaver.close();
    Thread.sleep((long) ((cutAt + CUT_S - lab.seconds()) * 1_000));
    if (Lab.TROUBLE) {
      lab.log("the cut ends");
    }
    for (Thread client : clients) {
      client.join();
    }
    return judge(lab, leaver, seen);
  }

  private static void sendUntil(Lab lab, Lab.Host front, double end, List<Seen> seen) {
    try (Client client = new Client(lab, front)) {
      while (lab.seconds() < end) {
        seen.add(new Seen(front.name, client.send("/book/1", new byte[100], 5_000)));
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean judge(Lab lab, Server leaver, List<Seen> seen) {
    Map<String, Double> toldAt = new HashMap<>();
    Map<String, Seen> byId = new HashMap<>();
    for (Seen one : seen) {
      byId.put(one.outcome().id(), one);
      if (one.outcome().serverLeaving()) {
        toldAt.merge(one.front(), one.outcome().endedAt(), Math::min);
      }
    }
    long answered = seen.stream().filter(one -> one.outcome().status() == 200).count();
    lab.log(seen.size() + " requests, " + answered + " answered with 200; told at " + toldAt);
    if (answered < 100) {
      throw new Lab.CannotRun("too few requests were served to judge");
    }
    int late = 0;
    for (Server.Run run : leaver.runs()) {
      Seen one = byId.get(run.id());
      Double told = one == null ? null : toldAt.get(one.front());
      if (told != null && one.outcome().sentAt() > told + DRAIN_S) {
        late++;
        lab.log(
            "broken: %s was sent to %s %.2f s after that gateway passed on that %s leaves; status %d"
                .formatted(run.id(), one.front(), one.outcome().sentAt() - told, leaver.id,
                    one.outcome().status()));
      }
    }
    lab.log(late + " requests reached the leaving server too late");
    for (Seen one : seen) {
      if (one.outcome().status() != 200) {
        lab.log("lost or refused: " + one);
      }
    }
    return late == 0;
  }
}
