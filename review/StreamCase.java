import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Streams of sound servers pause for two seconds while the settings of the gateway change. */
final class StreamCase implements Case.Body {

  /** Less than the 4.8 s after which clients leave, and more than the 0.6 s that is on time. */
  private static final long PAUSE_MS = 2000;

  private static final int STREAMS = 10;
  private static final int GAP_MS = 200;
  private static final int CONTACT_MS = 5000;

  @Override
  public boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception {
    List<Fleet.Machine> core = Case.startCore(fleet, 3);
    Fleet.Machine gateway = fleet.add("front-1", "gateway", "dakar-a");
    gateway.start(false);
    Operator operator = new Operator(journal, core);
    Case.require(
        operator.order("version 1", "/api/Config.Replace", Config.text(1, 8), 20_000, true),
        "the first configuration was not acknowledged");
    Client client = new Client(journal, "s");
    try (Server first =
            new Server("i-a", "wuno96b", "dakar-a", fleet.address(1), core, journal);
        Server second =
            new Server("i-b", "wuno96b", "dakar-a", fleet.address(2), core, journal)) {
      Case.awaitService(client, gateway, 25_000);
      // A second gateway, whose settings stay, so that the share of hup is kept.
      Fleet.Machine calm = fleet.add("front-2", "gateway", "dakar-b");
      calm.start(false);
      Case.awaitService(client, calm, 25_000);
      Case.require(client.stream(gateway).equals("whole"), "no stream at all");
      Thread.sleep(CONTACT_MS + 1000);
      if (trouble) {
        first.pauseMs = PAUSE_MS;
        second.pauseMs = PAUSE_MS;
      }
      // Planned work: the settings file has changed.
      gateway.signal("HUP");
      List<CompletableFuture<String>> streams = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        streams.add(
            CompletableFuture.supplyAsync(() -> client.stream(gateway), Thread::startVirtualThread));
        Thread.sleep(GAP_MS);
      }
      long cut = 0;
      long whole = 0;
      for (CompletableFuture<String> stream : streams) {
        String end = stream.get();
        cut += end.equals("cut") || end.equals("closed") ? 1 : 0;
        whole += end.equals("whole") ? 1 : 0;
      }
      journal.line("%d streams: %d whole, %d cut by the gateway", STREAMS, whole, cut);
      return cut == 0;
    }
  }
}
