package org.cuminwell.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs control hosts and gateways in three regions, each at a loopback address of its own, with the
 * commands and the settings of the deploy file.
 *
 * <p>All hosts use the same ports. Thread safe once it has been created.
 */
final class Deployment implements AutoCloseable {

  static final int REGIONS = 3;

  /** The name by which callers ask for the system. */
  static final String HOST = "soak.example";

  static final String KEY = "key-of-the-soak";

  private static final int CONTROL_PORT = 0;
  private static final int DIRECTORY_PORT = 1;
  private static final int FRONT_PORT = 2;
  private static final int READINESS_PORT = 3;
  private static final int ENDPOINT_PORT = 4;
  private static final int FIRST_RANGE_PORT = 10;
  private static final int LAST_RANGE_PORT = 15;
  private static final int PORTS = 20;
  private static final int PORT_ATTEMPTS = 50;
  private static final int FIRST_ENDPOINT = 100;

  /** The distance between the networks for hosts and for their warm-up. */
  private static final int WARM_UP_DISTANCE = 100;

  /** The address at which each host of the deploy file warms up, on a machine of its own. */
  private static final String LOCAL = "127.0.0.1:";

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_PERIOD = Duration.ofMillis(50);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final Path checkout;
  private final Path jar;
  private final Path folder;
  private final InstantSource time;
  private final History history;
  private final String network;
  private final String warmUpNetwork;
  private final int basePort;
  private final List<Host> controls;
  private final List<Host> gateways;

  /** Names a host and holds its process. */
  record Host(String ip, int region, SystemProcess process) {}

  /**
   * Creates a deployment that is not started.
   *
   * @param checkout the folder of the repository, whose deploy file says how roles are run
   * @param jar the program
   * @param folder where settings, data and logs are kept
   * @param random draws the addresses, which other runs may use at the same time
   * @throws IOException if no addresses are free or the deploy file can't be read
   */
  Deployment(
      Path checkout,
      Path jar,
      Path folder,
      int gatewayCount,
      SplittableRandom random,
      InstantSource time,
      History history)
      throws IOException {
    this.checkout = checkout;
    this.jar = jar;
    this.folder = folder;
    this.time = time;
    this.history = history;
    int firstByte = random.nextInt(40, 120);
    int secondByte = random.nextInt(1, 250);
    this.network = "127." + firstByte + "." + secondByte + ".";
    this.warmUpNetwork = "127." + (firstByte + WARM_UP_DISTANCE) + "." + secondByte + ".";
    this.basePort = findFreePorts(network + 1, random);
    this.controls = createHosts("control", REGIONS, 1);
    this.gateways = createHosts("gateway", gatewayCount, 10);
  }

  List<Host> gateways() {
    return gateways;
  }

  /** Returns the address of a gateway for callers. */
  String frontAddress(Host gateway) {
    return gateway.ip() + ":" + port(FRONT_PORT);
  }

  /** Returns the addresses at which the control hosts take orders and heartbeats. */
  List<String> controlAddresses() {
    return controls.stream().map(host -> host.ip() + ":" + port(CONTROL_PORT)).toList();
  }

  /** Returns the addresses of the directory, those of the region first. */
  List<String> directoryAddresses(int region) {
    return Stream.concat(
            controls.stream().filter(host -> host.region() == region),
            controls.stream().filter(host -> host.region() != region))
        .map(host -> host.ip() + ":" + port(DIRECTORY_PORT))
        .toList();
  }

  /** Returns the address for an endpoint. */
  String endpointAddress(int number) {
    return network + (FIRST_ENDPOINT + number) + ":" + port(ENDPOINT_PORT);
  }

  static String region(int number) {
    return "region-" + number;
  }

  static String zone(int region) {
    return region(region) + "-a";
  }

  /** Starts all processes, sends the configuration and waits until all gateways are ready. */
  void start() throws IOException, InterruptedException {
    for (Host host : controls) {
      writeSettings(host, true);
      host.process().start();
    }
    for (Host host : gateways) {
      writeSettings(host, true);
      host.process().start();
    }
    await("an acknowledgement of the configuration", this::isConfigured);
    for (Host host : gateways) {
      awaitReady(host);
    }
  }

  /** Waits until a gateway says that it is ready. */
  void awaitReady(Host gateway) throws InterruptedException {
    await(gateway.process().name() + " to be ready", () -> isReady(gateway));
  }

  private boolean isReady(Host gateway) throws IOException {
    String address = gateway.ip() + ":" + port(READINESS_PORT);
    return Http1.call(address, "GET", "/api/ready", "", CALL_TIMEOUT).head().status() == 200;
  }

  private boolean isConfigured() throws IOException {
    String routes =
        Arrays.stream(Route.values())
            .map(route -> route.toJson(HOST))
            .collect(Collectors.joining(","));
    String services =
        Arrays.stream(Route.values())
            .map(Route::service)
            .distinct()
            .map(
                name ->
                    """
                    {"name":"%s","healthPath":"/health","maxConns":600,"protocol":"h1",\
                    "tls":false,"coldS":0.0,"coldPerS":0.0}"""
                        .formatted(name))
            .collect(Collectors.joining(","));
    String document =
        """
        {"version":1,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,\
        "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[\
        {"name":"soak","apiKeys":["%s"],"priority":1,"unit":"token","plainTokens":1,\
        "ratePerS":0,"burst":0,"homeRegions":[]}]}"""
            .formatted(routes, services, KEY);
    String address = controlAddresses().getFirst();
    return Http1.call(address, "POST", "/api/Config.Replace", document, CALL_TIMEOUT)
            .head()
            .status()
        == 200;
  }

  /** Tells whether a condition holds. */
  private interface Condition {
    boolean holds() throws IOException;
  }

  private void await(String what, Condition condition) throws InterruptedException {
    Instant end = time.instant().plus(START_TIMEOUT);
    while (!holds(condition)) {
      if (time.instant().isAfter(end)) {
        throw new IllegalStateException(
            "waited in vain for " + what + "; see the logs in " + folder);
      }
      Thread.sleep(POLL_PERIOD);
    }
  }

  private static boolean holds(Condition condition) {
    try {
      return condition.holds();
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends all processes at once. */
  @Override
  public void close() {
    allHosts().forEach(host -> host.process().kill());
  }

  private Stream<Host> allHosts() {
    return Stream.concat(controls.stream(), gateways.stream());
  }

  private List<Host> createHosts(String role, int count, int firstAddress) throws IOException {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = role + "-" + i;
      SystemProcess process =
          new SystemProcess(
              name, command(role, name), checkout, folder.resolve(name + ".log"), time, history);
      hosts.add(new Host(network + (firstAddress + i), i % REGIONS, process));
    }
    return hosts;
  }

  /** Returns the words of the role's command, with this machine's Java and the given program. */
  private List<String> command(String role, String name) throws IOException {
    String run =
        Files.readAllLines(checkout.resolve("deploy/system.toml")).stream()
            .dropWhile(line -> !line.equals("[roles." + role + "]"))
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow(() -> new IOException("the deploy file has no role " + role));
    String words = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    return Arrays.stream(words.split(" ", -1))
        .filter(word -> !word.startsWith("-XX:SharedArchiveFile"))
        .map(word -> word.endsWith("/bin/java") ? javaProgram() : word)
        .map(word -> word.endsWith(".jar") ? jar.toString() : word)
        .map(word -> word.startsWith("@") ? "@" + settingsFile(name) : word)
        .toList();
  }

  private static String javaProgram() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private Path settingsFile(String name) {
    return folder.resolve(name + ".flags");
  }

  private void writeSettings(Host host, boolean bootstrap) throws IOException {
    String name = host.process().name();
    boolean isControl = controls.contains(host);
    Path data = folder.resolve(name + ".data");
    if (isControl) {
      Files.createDirectories(data);
    }
    Map<String, Object> fields = new TreeMap<>();
    fields.put("ip", host.ip());
    fields.put("zone", zone(host.region()));
    fields.put("region", region(host.region()));
    fields.put("zones", zones());
    fields.put("listen", listen(host));
    fields.put("portRange", List.of(port(FIRST_RANGE_PORT), port(LAST_RANGE_PORT)));
    fields.put("seeds", controlAddresses());
    fields.put("bootstrap", bootstrap);
    fields.put("dataDir", data);
    fields.put("bounds", Bounds.settings());
    String role = isControl ? "control" : "gateway";
    String template = Files.readString(checkout.resolve("deploy/" + role + ".flags"));
    String lastByte = host.ip().substring(network.length());
    Files.writeString(
        settingsFile(name),
        SettingsTemplate.render(template, fields).replace(LOCAL, warmUpNetwork + lastByte + ":"));
  }

  private Map<String, String> listen(Host host) {
    return Map.of(
        "control", host.ip() + ":" + port(CONTROL_PORT),
        "directory", host.ip() + ":" + port(DIRECTORY_PORT),
        "front", host.ip() + ":" + port(FRONT_PORT),
        "readiness", host.ip() + ":" + port(READINESS_PORT));
  }

  private static Map<String, String> zones() {
    Map<String, String> zones = new TreeMap<>();
    for (int region = 0; region < REGIONS; region++) {
      zones.put(zone(region), region(region));
    }
    return zones;
  }

  private int port(int offset) {
    return basePort + offset;
  }

  /** Finds a range of ports that is free at the address. */
  private static int findFreePorts(String ip, SplittableRandom random) throws IOException {
    for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
      int base = random.nextInt(12_000, 30_000);
      if (isFree(ip, base)) {
        return base;
      }
    }
    throw new IOException("found no free ports at " + ip);
  }

  private static boolean isFree(String ip, int base) {
    for (int port = base; port < base + PORTS; port++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.ofLiteral(ip), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
