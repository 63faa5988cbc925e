import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A control host freezes with an order to take a zone back in its socket, and wakes up later. */
final class EvacuationCase implements Case.Body {

  /** Longer than contactMs and evacuationMs (5 s each) after the host has woken up. */
  private static final int SETTLE_MS = 6500;

  private static final String ZONE = "dakar-a";
  private static final String BEGIN = "/api/Evacuation.Begin/" + ZONE;
  private static final String FINISH = "/api/Evacuation.Finish/" + ZONE;

  @Override
  public boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception {
    List<Fleet.Machine> core = Case.startCore(fleet, 3);
    Fleet.Machine gateway = fleet.add("front-1", "gateway", ZONE);
    gateway.start(false);
    Operator operator = new Operator(journal, core);
    Case.require(
        operator.order("version 1", "/api/Config.Replace", Config.text(1, 8), 20_000, true),
        "the first configuration was not acknowledged");
    Client client = new Client(journal, "a");
    try (Server emptied = new Server("i-a", "wuno96b", ZONE, fleet.address(1), core, journal);
        Server other = new Server("i-b", "wuno96b", "dakar-b", fleet.address(2), core, journal)) {
      Case.awaitService(client, gateway, 25_000);
      AtomicBoolean ended = new AtomicBoolean();
      Thread traffic = Thread.startVirtualThread(() -> Case.load(client, gateway, ended));
      Thread.sleep(2000);
      Case.require(operator.order("evacuation", BEGIN, "", 6000, true), "no evacuation");
      Thread.sleep(6000);
      int before = emptied.runs.get();
      Thread.sleep(2000);
      Case.require(emptied.runs.get() == before, "the evacuation had no effect");

      Fleet.Machine frozen = core.get(0);
      if (trouble) {
        frozen.signal("STOP");
        Thread.sleep(50);
      }
      operator.controls(List.of(frozen, core.get(1), core.get(2)));
      Case.require(operator.order("take back", FINISH, "", 6000, true), "not taken back");
      Thread.sleep(800);
      operator.controls(List.of(core.get(1), core.get(2)));
      Case.require(operator.order("evacuation", BEGIN, "", 6000, true), "no evacuation");
      Thread.sleep(300);
      if (trouble) {
        frozen.signal("CONT");
      }
      Thread.sleep(SETTLE_MS);
      int atBound = emptied.runs.get();
      int otherAtBound = other.runs.get();
      Thread.sleep(5000);
      int late = emptied.runs.get() - atBound;
      journal.line(
          "in 5 s, later than %d ms after the evacuation was acknowledged: %d requests ran in %s,"
              + " %d in dakar-b",
          SETTLE_MS, late, ZONE, other.runs.get() - otherAtBound);
      ended.set(true);
      traffic.join();
      return late == 0;
    }
  }
}
