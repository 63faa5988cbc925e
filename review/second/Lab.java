import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Starts the processes of a small deployment with the commands and templates of the deploy file,
 * each on a loopback address of its own, and keeps the record of a case.
 *
 * <p>The main classes are run from the root of the checkout after its build. Thread safe.
 */
final class Lab implements AutoCloseable {

  /** Ends a case that could not be run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String why) {
      super(why);
    }
  }

  /** One process of the system. */
  final class Host {
    final String name;
    final String ip;
    final String zone;
    final boolean core;
    private Process process;

    Host(String name, String ip, String zone, boolean core) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.core = core;
    }

    String front() {
      return ip + ":" + port(0);
    }

    String control() {
      return ip + ":" + port(2);
    }

    String directory() {
      return ip + ":" + port(3);
    }

    String readiness() {
      return ip + ":" + port(1);
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    /** Sends a signal, such as STOP, CONT, TERM or KILL. */
    void signal(String signal) {
      log("signal " + signal + " to " + name);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (IOException | InterruptedException e) {
        throw new CannotRun("can't send a signal: " + e);
      }
    }

    void awaitEnd() throws InterruptedException {
      process.waitFor(15, TimeUnit.SECONDS);
    }
  }

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
  static final String REGION = "north";

  private static final int PORTS_PER_CASE = 40;

  private final long startNanos = System.nanoTime();
  private final Path root = Path.of("").toAbsolutePath();
  private final Path temp;
  private final PrintWriter record;
  private final List<Host> hosts = new CopyOnWriteArrayList<>();
  private final int basePort;
  private final String net;

  Lab(Path caseFolder) throws IOException {
    record =
        new PrintWriter(
            Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
    temp = Files.createTempDirectory("review-2-");
    net = "127." + ThreadLocalRandom.current().nextInt(40, 120) + "."
        + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    basePort = freePorts();
    log("trouble " + (TROUBLE ? "on" : "off"));
    for (int i = 0; i < ZONES.length; i++) {
      hosts.add(new Host("core-" + (i + 1), net + (11 + i), ZONES[i], true));
    }
  }


  /** Finds a range of ports that are free on the plain loopback address and on those used here. */
  private int freePorts() throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      int base = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      if (isFree("127.0.0.1", base) && isFree(net + "11", base)) {
        return base;
      }
    }
    throw new CannotRun("found no free ports");
  }

  private static boolean isFree(String ip, int base) {
    for (int port = base; port < base + PORTS_PER_CASE; port++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(ip, port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /** Writes one line to the record. */
  synchronized void log(String line) {
    record.printf("%8.3f %s%n", seconds(), line);
    record.flush();
  }

  /** Returns the seconds since the case began. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  List<Host> core() {
    return hosts.stream().filter(host -> host.core).toList();
  }

  List<Host> fronts() {
    return hosts.stream().filter(host -> !host.core).toList();
  }

  String address(int lastByte) {
    return net + lastByte;
  }

  int port(int offset) {
    return basePort + offset;
  }

  /** Starts the three core hosts, as at the first start of the system. */
  void startCore() throws IOException {
    for (Host host : core()) {
      start(host, true);
    }
  }

  /** Returns the core hosts whose processes run. */
  List<Host> runningCore() {
    return core().stream().filter(Host::isAlive).toList();
  }

  /** Starts an empty core host at another address in the place of one that is gone for good. */
  Host startSuccessor(Host gone) throws IOException {
    hosts.remove(gone);
    Host host = new Host("core-" + (core().size() + 2), net + 14, gone.zone, true);
    hosts.add(host);
    start(host, false);
    return host;
  }

  /** Starts a gateway and waits until it has warmed up, since all share one loopback address. */
  Host startFront(String zone) throws Exception {
    int number = fronts().size() + 1;
    Host host = new Host("front-" + number, net + (20 + number), zone, false);
    hosts.add(host);
    start(host, true);
    await("the listener of " + host.name, 40, () -> connects(host.front()));
    return host;
  }

  /** Starts the process of a host with the command and the settings template of its role. */
  void start(Host host, boolean bootstrap) throws IOException {
    String role = host.core ? "control" : "gateway";
    Path settings = temp.resolve(host.name + ".flags");
    Files.writeString(
        settings,
        Template.render(
            Files.readString(root.resolve("deploy/" + role + ".flags")), settings(host, bootstrap)));
    List<String> words = new ArrayList<>();
    for (String word : command(role)) {
      words.add(word.startsWith("@") ? "@" + settings : word);
    }
    ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
    builder.environment().put("CUMINWELL_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(temp.resolve(host.name + ".log").toFile()));
    host.process = builder.start();
    log("start " + host.name + " at " + host.ip);
  }

  /** Returns the words of the role's command in the deploy file. */
  private List<String> command(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new CannotRun("the deploy file has no role " + role);
  }

  private Map<String, Object> settings(Host host, boolean bootstrap) throws IOException {
    Map<String, Object> listen =
        host.core
            ? Map.of("control", host.control(), "directory", host.directory())
            : Map.of("front", host.front(), "readiness", host.readiness());
    Path data = temp.resolve("data-" + host.name);
    if (host.core) {
      Files.createDirectories(data);
    }
    return Map.of(
        "ip", host.ip,
        "zone", host.zone,
        "region", REGION,
        "zones", Map.of(ZONES[0], REGION, ZONES[1], REGION, ZONES[2], REGION),
        "listen", listen,
        "portRange", List.of(basePort + 10, basePort + 25),
        "seeds", core().stream().map(Host::control).toList(),
        "bootstrap", bootstrap,
        "dataDir", host.core ? data.toString() : "",
        "bounds",
            Map.of(
                "graceS", 8,
                "revokeMs", 5000,
                "retryBudgetRatio", 0.2,
                "retryBudgetExtra", 52,
                "quotaOvershoot", 0.1,
                "quotaSlack", 72000,
                "exposureShare", 0.1,
                "exposureSlack", 50));
  }

  /** Tells whether a condition holds. */
  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits for a condition; the case can't run if it doesn't come true. */
  void await(String what, double seconds, Condition condition) throws InterruptedException {
    double end = seconds() + seconds;
    while (true) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (Exception e) {
        // Not yet.
      }
      if (seconds() > end) {
        throw new CannotRun("waited in vain for " + what);
      }
      Thread.sleep(50);
    }
  }

  static boolean connects(String address) {
    try (Socket socket = new Socket()) {
      socket.connect(endpoint(address), 500);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  static InetSocketAddress endpoint(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        InetAddress.ofLiteral(address.substring(0, colon)),
        Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sends an operator's order until a control host acknowledges it. */
  void order(String path, String body) throws InterruptedException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    for (int attempt = 0; attempt < 200; attempt++) {
      Host host = core().get(attempt % core().size());
      try {
        Http.Response response =
            Http.call(host.control(), "POST", path, "operator", Map.of(), bytes, 2_000);
        log("order " + path + " at " + host.name + ": " + response.status);
        if (response.status == 200) {
          return;
        }
      } catch (IOException e) {
        log("order " + path + " at " + host.name + ": " + e.getMessage());
      }
      Thread.sleep(100);
    }
    throw new CannotRun("no control host acknowledged " + path);
  }

  /** Sends the first configuration and waits until the gateways take callers. */
  void configure() throws InterruptedException {
    order("/api/Config.Replace", Documents.configuration(1));
    for (Host front : fronts()) {
      await(
          front.name + " to be ready",
          30,
          () ->
              Http.call(
                          front.readiness(), "GET", "/api/ready", "x", Map.of(), new byte[0], 500)
                      .status
                  == 200);
    }
  }

  /** Returns the core host that leads, by the metrics of the operators' address. */
  Host leader() throws InterruptedException {
    Host[] found = new Host[1];
    await(
        "a leader",
        20,
        () -> {
          for (Host host : core()) {
            String metrics =
                new String(
                    Http.call(
                            host.ip + ":" + port(25), "GET", "/metrics", "x", Map.of(),
                            new byte[0], 1_000)
                        .body,
                    StandardCharsets.UTF_8);
            if (metrics.lines().anyMatch(line -> line.matches("\\S*agreement_leads\\S* 1(\\.0)?"))) {
              found[0] = host;
            }
          }
          return found[0] != null;
        });
    return found[0];
  }

  /** Copies the last lines that a process wrote to the record. */
  void logTail(Host host, int lines) {
    try {
      List<String> all = Files.readAllLines(temp.resolve(host.name + ".log"));
      all.subList(Math.max(0, all.size() - lines), all.size())
          .forEach(line -> log("  " + host.name + " wrote: " + line));
    } catch (IOException e) {
      log("can't read the lines of " + host.name);
    }
  }

  /** Ends all processes that this case started, and removes its folder. */
  @Override
  public void close() throws IOException {
    for (Host host : hosts) {
      if (host.isAlive()) {
        host.process.destroyForcibly();
      }
    }
    for (Host host : hosts) {
      if (host.process != null) {
        try {
          host.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    try (var files = Files.walk(temp)) {
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }

  /** A case: returns whether the rule held. */
  interface Case {
    boolean holds(Lab lab) throws Exception;
  }

  /** Runs a case and ends this process with its result. */
  static void run(String[] args, Case body) {
    int code = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () ->
                      lab.hosts.forEach(
                          host -> {
                            if (host.isAlive()) {
                              host.process.destroyForcibly();
                            }
                          })));
      try {
        code = body.holds(lab) ? 0 : 1;
        lab.log(code == 0 ? "RESULT: the rule held" : "RESULT: the rule was broken");
      } catch (Exception e) {
        lab.log("RESULT: the case couldn't run: " + e);
      }
    } catch (IOException e) {
      System.err.println(e);
    }
    System.out.println("exit " + code);
    System.exit(code);
  }
}
