import java.util.List;

/** All control hosts are killed after hundreds of changes of a configuration of many routes. */
final class MemoryCase implements Case.Body {

  /** The largest number of routes that big_config adds on the pages, and the idle ones of a site. */
  private static final int ROUTES = 350 + 8;

  private static final int CHANGES = 500;

  /** The changes come in storms of the site's size, 25 in 2 s or more. */
  private static final int CHANGES_OF_STORM = 25;

  private static final int GAP_MS = 80;
  private static final int PAUSE_MS = 500;
  private static final double CHANGES_END_SECONDS = 88;
  private static final int RECOVERY_MS = 12_000;

  /** Longer than contactMs, for which the operator asks at the end of a day. */
  private static final double READ_SECONDS = 12;

  @Override
  public boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception {
    List<Fleet.Machine> core = Case.startCore(fleet, 3);
    Operator operator = new Operator(journal, core);
    int acknowledged = 0;
    for (int version = 1; version <= CHANGES; version++) {
      boolean loud = version == 1 || version % 100 == 0;
      int forMs = version == 1 ? 20_000 : 6_000;
      String text = Config.text(version, ROUTES);
      Case.require(
          operator.order("version " + version, "/api/Config.Replace", text, forMs, loud),
          "version " + version + " was not acknowledged");
      Case.require(journal.seconds() < CHANGES_END_SECONDS, "the changes took too long");
      acknowledged = version;
      Thread.sleep(version % CHANGES_OF_STORM == 0 ? PAUSE_MS : GAP_MS);
    }
    journal.line("operator: the newest acknowledged version is %d", acknowledged);
    if (trouble) {
      for (Fleet.Machine machine : core) {
        machine.signal("KILL");
      }
    }
    Thread.sleep(RECOVERY_MS);
    return readBack(operator, core, journal, acknowledged);
  }

  private static boolean readBack(
      Operator operator, List<Fleet.Machine> core, Journal journal, int acknowledged)
      throws InterruptedException {
    double end = journal.seconds() + READ_SECONDS;
    while (journal.seconds() < end) {
      for (Fleet.Machine at : core) {
        Http.Message answer = operator.once(at, "GET", "/api/Config.Read", "", 2000);
        journal.line("operator: read at %s: %s", at.name, Operator.describe(answer));
        if (answer != null && answer.status() == 200) {
          return answer.text().startsWith("{\"version\":" + acknowledged + ",");
        }
      }
      Thread.sleep(500);
    }
    return false;
  }
}
