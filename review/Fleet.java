import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the programs of the deploy file, one process a machine, and starts again those that end.
 * Each machine has a loopback address of its own, and the ports are the same on all.
 */
final class Fleet implements AutoCloseable {

  static final int CONTROL = 18229;
  static final int DIRECTORY = 18230;
  static final int FRONT = 18221;
  static final int READINESS = 18224;
  private static final int FIRST_PORT = 17600;
  private static final long RESTART_MS = 300;

  private final Path root;
  private final Path folder;
  private final Journal journal;
  private final Map<String, String> zones;
  private final Map<String, Object> bounds;
  private final String network;
  private final List<Machine> machines = new ArrayList<>();
  private List<String> seeds = List.of();
  private volatile boolean closing;

  /** One machine with its role. */
  final class Machine {
    final String name;
    final String role;
    final String zone;
    final String ip;
    final Path data;
    volatile boolean off;
    volatile int ownEnds;
    private volatile Process process;
    private volatile boolean killed;

    private Machine(String name, String role, String zone, String ip) {
      this.name = name;
      this.role = role;
      this.zone = zone;
      this.ip = ip;
      this.data = folder.resolve(name + "-data");
    }

    String control() {
      return ip + ":" + CONTROL;
    }

    String front() {
      return ip + ":" + FRONT;
    }

    /** Starts the process and keeps it running until it is switched off. */
    synchronized void start(boolean bootstrap) throws IOException {
      if (closing) {
        return;
      }
      off = false;
      Files.createDirectories(data);
      Path settings = folder.resolve(name + ".flags");
      Files.writeString(settings, Template.render(template(role), fields(this, bootstrap)));
      List<String> command = new ArrayList<>();
      for (String word : run(role).split(" ")) {
        command.add(word.equals("@/etc/cuminwell/node.yaml") ? "@" + settings : word);
      }
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("CUMINWELL_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      killed = false;
      Process started = builder.start();
      process = started;
      journal.line("%s: process %d started at %s (%s)", name, started.pid(), ip, role);
      started.onExit().thenAccept(ended -> onExit(ended));
    }

    private void onExit(Process ended) {
      if (closing || off || ended != process) {
        return;
      }
      if (!killed) {
        ownEnds++;
        journal.line("%s: process ended by itself with code %d", name, ended.exitValue());
      }
      try {
        Thread.sleep(RESTART_MS);
        if (!closing && !off) {
          start(false);
        }
      } catch (IOException | InterruptedException e) {
        journal.line("%s: no restart: %s", name, e);
      }
    }

    void signal(String signal) throws IOException, InterruptedException {
      journal.line("%s: SIG%s", name, signal);
      killed |= signal.equals("KILL") || signal.equals("TERM");
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process, which does not come back by itself. */
    void powerOff() throws IOException, InterruptedException {
      off = true;
      signal("KILL");
      process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Empties the disk of a machine that is off. */
    void wipe() throws IOException {
      delete(data);
      journal.line("%s: its disk is lost", name);
    }
  }

  Fleet(Path root, Path folder, Journal journal, Map<String, String> zones, Map<String, Object> bounds)
      throws IOException {
    this.root = root;
    this.folder = folder;
    this.journal = journal;
    this.zones = zones;
    this.bounds = bounds;
    this.network = freeNetwork();
  }

  /** Adds a machine. The role is "control" or "gateway". */
  Machine add(String name, String role, String zone) {
    Machine machine = new Machine(name, role, zone, network + (10 + machines.size()));
    machines.add(machine);
    return machine;
  }

  /** Returns a loopback address for a stand-in. */
  String address(int number) {
    return network + (100 + number);
  }

  List<Machine> withRole(String role) {
    return machines.stream().filter(machine -> machine.role.equals(role)).toList();
  }

  /** Returns the machine whose log says last that it leads. */
  Machine leader(List<Machine> among) throws IOException {
    Machine found = among.get(0);
    String latest = "";
    for (Machine machine : among) {
      for (String line : Files.readAllLines(folder.resolve(machine.name + ".log"))) {
        // The time of a line is the first field of its JSON.
        String time = line.startsWith("{\"time\":\"") ? line.substring(9, 30) : "";
        if (line.contains("leads=true") && time.compareTo(latest) > 0) {
          latest = time;
          found = machine;
        }
      }
    }
    return found;
  }

  /** Names the machines that the settings files give as seeds. */
  void seeds(List<Machine> named) {
    seeds = named.stream().map(Machine::control).toList();
  }

  /** Ends all processes and deletes the temporary folder. */
  @Override
  public void close() throws IOException {
    closing = true;
    for (Machine machine : machines) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
    for (Machine machine : machines) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") == null) {
      delete(folder);
    }
  }

  private Map<String, Object> fields(Machine machine, boolean bootstrap) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("ip", machine.ip);
    fields.put("zone", machine.zone);
    fields.put("region", zones.get(machine.zone));
    fields.put("zones", zones);
    fields.put("portRange", List.of(FIRST_PORT, FIRST_PORT + 15));
    fields.put("seeds", seeds);
    fields.put("bootstrap", bootstrap);
    fields.put("dataDir", machine.data);
    fields.put("bounds", bounds);
    fields.put(
        "listen",
        Map.of(
            "front", machine.front(),
            "readiness", machine.ip + ":" + READINESS,
            "control", machine.control(),
            "directory", machine.ip + ":" + DIRECTORY));
    return fields;
  }

  private String template(String role) throws IOException {
    return Files.readString(root.resolve(entry(role, "template")));
  }

  private String run(String role) throws IOException {
    return entry(role, "run");
  }

  private String entry(String role, String key) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    Matcher found = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
    if (!found.find()) {
      throw new IOException("deploy/system.toml has no " + key + " for " + role);
    }
    return found.group(1);
  }

  /** Returns the first three numbers of a loopback network whose ports are free. */
  private static String freeNetwork() throws IOException {
    long seed = ProcessHandle.current().pid();
    for (int i = 0; i < 200; i++) {
      String network = "127." + (20 + (seed + i) % 200) + "." + (1 + (seed / 200 + i) % 250) + ".";
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getByName(network + "10"), CONTROL));
        return network;
      } catch (IOException e) {
        // In use: the next one is tried.
      }
    }
    throw new IOException("no free loopback network");
  }

  private static void delete(Path path) throws IOException {
    if (!Files.exists(path)) {
      return;
    }
    try (Stream<Path> all = Files.walk(path)) {
      for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(each);
      }
    }
  }
}
