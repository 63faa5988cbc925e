import java.util.List;

/** Two of six machines of the core lose their disks, which is to be borne there. */
final class DisksCase implements Case.Body {

  @Override
  public boolean run(Fleet fleet, Journal journal, boolean trouble) throws Exception {
    List<Fleet.Machine> core = Case.startCore(fleet, 6);
    Operator operator = new Operator(journal, core);
    Case.require(
        operator.order("version 1", "/api/Config.Replace", Config.text(1, 8), 20_000, true),
        "the first configuration was not acknowledged");
    Case.require(
        operator.order("version 7", "/api/Config.Replace", Config.text(7, 8), 10_000, true),
        "the second configuration was not acknowledged");
    Thread.sleep(6000);
    if (trouble) {
      for (Fleet.Machine machine : core.subList(0, 2)) {
        machine.powerOff();
        machine.wipe();
      }
      Thread.sleep(1000);
      for (Fleet.Machine machine : core.subList(0, 2)) {
        machine.start(false);
      }
    }
    Thread.sleep(20_000);
    double end = journal.seconds() + 15;
    while (journal.seconds() < end) {
      for (Fleet.Machine at : core) {
        Http.Message answer = operator.once(at, "GET", "/api/Config.Read", "", 2000);
        journal.line("operator: read at %s: %s", at.name, Operator.describe(answer));
        if (answer != null && answer.status() == 200) {
          return answer.text().startsWith("{\"version\":7,");
        }
      }
      Thread.sleep(1000);
    }
    return false;
  }
}
