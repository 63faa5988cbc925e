import java.util.List;

/**
 * A voter that lost its disk comes back while the settings name other seeds, and then counts other
 * voters than the rest do.
 */
final class QuorumCase implements Case.Body {

  /** Longer than the 6 s of catchUpS and of contactMs. */
  private static final int SETTLE_MS = 7000;

  private static final int FREEZE_MS = 1500;
  private static final int AFTER_FREEZE_MS = 2500;
  private static final double LEADS_BY_SECONDS = 75;

  /** The configApplyMs of the site. */
  private static final int APPLY_MS = 4000;

  private static final double READ_SECONDS = 12;

  /** Less than the 7 s for which the site takes the power of two machines of the core. */
  private static final double MAX_OFF_SECONDS = 6.5;

  @Override
  public boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception {
    List<Fleet.Machine> core = Case.startCore(fleet, 6);
    List<Fleet.Machine> voters = core.subList(0, 3);
    Operator operator = new Operator(journal, voters);
    order(operator, 1);
    Thread.sleep(2000);
    Fleet.Machine leader = fleet.leader(voters);
    List<Fleet.Machine> others = voters.stream().filter(m -> m != leader).toList();
    Fleet.Machine wiped = others.get(0);
    Fleet.Machine third = others.get(1);

    if (trouble) {
      fleet.seeds(List.of(leader, wiped, core.get(3)));
      journal.line("the settings name %s, %s and core-4 as seeds", leader.name, wiped.name);
    }
    wiped.powerOff();
    wiped.wipe();
    Thread.sleep(1000);
    wiped.start(false);
    Thread.sleep(SETTLE_MS);
    order(operator, 5);

    // The leader freezes, one after the other, until the machine that lost its disk leads.
    while (fleet.leader(voters) != wiped) {
      Case.require(journal.seconds() < LEADS_BY_SECONDS, wiped.name + " did not come to lead");
      Fleet.Machine leads = fleet.leader(voters);
      leads.signal("STOP");
      Thread.sleep(FREEZE_MS);
      leads.signal("CONT");
      Thread.sleep(AFTER_FREEZE_MS);
      journal.line("%s leads", fleet.leader(voters).name);
    }
    Thread.sleep(SETTLE_MS);
    order(operator, 9);

    // Two of six machines are without power at once; the first one comes back with its disk.
    double offSince = journal.seconds();
    leader.powerOff();
    Thread.sleep(500);
    operator.controls(List.of(wiped, third));
    order(operator, 20);
    wiped.powerOff();
    Thread.startVirtualThread(() -> startLater(wiped, journal));
    Thread.sleep(500);
    leader.start(false);
    Case.require(journal.seconds() - offSince < MAX_OFF_SECONDS, leader.name + " was off too long");
    Thread.sleep(APPLY_MS);
    return readBack(operator, List.of(leader, third), journal);
  }

  private static void startLater(Fleet.Machine machine, Journal journal) {
    try {
      Thread.sleep((long) (MAX_OFF_SECONDS * 1000));
      machine.start(false);
    } catch (java.io.IOException | InterruptedException e) {
      journal.line("%s: no start: %s", machine.name, e);
    }
  }

  private static void order(Operator operator, int version) throws Exception {
    Case.require(
        operator.order(
            "version " + version, "/api/Config.Replace", Config.text(version, 8), 20_000, true),
        "version " + version + " was not acknowledged");
  }

  /** Returns whether no host answers with a version that is older than the acknowledged one. */
  private static boolean readBack(
      Operator operator, List<Fleet.Machine> running, Journal journal) throws InterruptedException {
    double end = journal.seconds() + READ_SECONDS;
    boolean current = true;
    boolean answered = false;
    while (journal.seconds() < end && !answered) {
      for (Fleet.Machine at : running) {
        Http.Message answer = operator.once(at, "GET", "/api/Config.Read", "", 2000);
        journal.line("operator: read at %s: %s", at.name, Operator.describe(answer));
        if (answer != null && answer.status() == 200) {
          answered = true;
          current &= answer.text().startsWith("{\"version\":20,");
        }
      }
      Thread.sleep(500);
    }
    return current && answered;
  }
}
