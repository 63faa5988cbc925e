package org.cuminwell.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request after another, as a caller does that finds gateways by the directory and keeps
 * its connection open.
 *
 * <p>Some callers go on using an open connection for as long as it lasts, whatever the directory
 * says meanwhile. Not thread safe: one thread runs it.
 */
final class Caller implements Runnable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration DIRECTORY_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DIRECTORY_VALIDITY = Duration.ofSeconds(2);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** How many requests a caller starts over one connection at most. */
  private static final int REQUESTS_PER_CONNECTION = 40;

  private final int number;
  private final int region;
  private final boolean keepsConnection;
  private final Deployment deployment;
  private final Map<String, String> gatewayNames;
  private final Duration pause;
  private final SplittableRandom random;
  private final InstantSource time;
  private final History history;
  private final Set<String> failed = new HashSet<>();
  private List<String> addresses = List.of();
  private Instant listedAt = Instant.MIN;
  private @Nullable Connection connection;
  private volatile boolean stopped;
  private int count;

  /** Holds an open connection and how many requests it has carried. */
  private static final class Connection {
    final String gateway;
    final Socket socket;
    int requests;

    Connection(String gateway, Socket socket) {
      this.gateway = gateway;
      this.socket = socket;
    }
  }

  /**
   * Creates a caller.
   *
   * @param gatewayNames the name of the gateway at each address for callers
   * @param pause the mean time between a response and the next request
   */
  Caller(
      int number,
      Deployment deployment,
      Map<String, String> gatewayNames,
      Duration pause,
      SplittableRandom random,
      InstantSource time,
      History history) {
    this.number = number;
    this.region = number % Deployment.REGIONS;
    this.keepsConnection = number % 2 == 0;
    this.deployment = deployment;
    this.gatewayNames = Map.copyOf(gatewayNames);
    this.pause = pause;
    this.random = random;
    this.time = time;
    this.history = history;
  }

  /** Makes the caller end after its present request. Thread safe. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        sendNext();
        Thread.sleep(Duration.ofNanos((long) (pause.toNanos() * 2 * random.nextDouble())));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeConnection();
    }
  }

  private void sendNext() throws InterruptedException {
    refreshAddresses();
    if (connection == null && !connect()) {
      Thread.sleep(RETRY_DELAY);
      return;
    }
    Connection current = connection;
    if (current != null) {
      send(current, drawRoute());
    }
  }

  private Route drawRoute() {
    double draw = random.nextDouble();
    if (draw < 0.5) {
      return Route.CHAT;
    }
    return draw < 0.65 ? Route.REPORT : draw < 0.85 ? Route.RESERVE : Route.LOOK;
  }

  /** Asks the directory when its last answer is too old, and leaves gateways that it omits. */
  private void refreshAddresses() {
    if (time.instant().isBefore(listedAt.plus(DIRECTORY_VALIDITY))) {
      return;
    }
    for (String directory : deployment.directoryAddresses(region)) {
      List<String> found = ask(directory);
      if (!found.isEmpty()) {
        addresses = found;
        listedAt = time.instant();
        failed.clear();
        break;
      }
    }
    Connection current = connection;
    if (current != null && !keepsConnection && !addresses.contains(current.gateway)) {
      closeConnection();
    }
  }

  private List<String> ask(String directory) {
    String path =
        "/api/resolve?name=%s&region=%s&zone=%s"
            .formatted(Deployment.HOST, Deployment.region(region), Deployment.zone(region));
    try {
      Http1.Response response = Http1.call(directory, "GET", path, "", DIRECTORY_TIMEOUT);
      return response.head().status() == 200 ? parseAddresses(response.body()) : List.of();
    } catch (IOException e) {
      return List.of();
    }
  }

  private static List<String> parseAddresses(String json) throws JsonProcessingException {
    List<String> found = new ArrayList<>();
    for (JsonNode address : MAPPER.readTree(json).path("addresses")) {
      found.add(address.asText());
    }
    return found;
  }

  /** Connects to a gateway that has not failed since the directory was asked. */
  private boolean connect() {
    List<String> candidates = addresses.stream().filter(a -> !failed.contains(a)).toList();
    if (candidates.isEmpty()) {
      listedAt = Instant.MIN;
      return false;
    }
    String address = candidates.get(random.nextInt(candidates.size()));
    try {
      connection = new Connection(address, Http1.connect(address));
      return true;
    } catch (IOException e) {
      failed.add(address);
      return false;
    }
  }

  private void send(Connection current, Route route) {
    String id = "%08x%08x".formatted(number, ++count);
    boolean reused = current.requests++ > 0;
    Instant sentAt = time.instant();
    History.Outcome outcome = History.Outcome.NOT_SENT;
    int status = 0;
    try {
      current.socket.setSoTimeout((int) route.timeout().toMillis());
      writeRequest(current.socket, route, id);
      outcome = History.Outcome.BROKEN_OFF;
      InputStream in = current.socket.getInputStream();
      Http1.Head head = Http1.readHead(in);
      status = head.status();
      byte[] _ = Http1.readBody(in, head);
      outcome = History.Outcome.WHOLE;
      if (head.header("connection").equalsIgnoreCase("close")
          || current.requests >= REQUESTS_PER_CONNECTION) {
        closeConnection();
      }
    } catch (SocketTimeoutException e) {
      outcome = History.Outcome.TIMED_OUT;
      closeConnection();
    } catch (IOException e) {
      failed.add(current.gateway);
      closeConnection();
    }
    history.add(
        new History.Request(
            id,
            route,
            gatewayNames.getOrDefault(current.gateway, current.gateway),
            sentAt,
            time.instant(),
            outcome,
            status,
            reused));
  }

  private void writeRequest(Socket socket, Route route, String id) throws IOException {
    String head =
        "POST "
            + route.path()
            + id
            + " HTTP/1.1\r\nHost: "
            + Deployment.HOST
            + "\r\nAttempt-Id: "
            + id
            + "\r\nDeadline-Ms: "
            + route.timeout().toMillis()
            + "\r\nX-Api-Key: "
            + Deployment.KEY
            + "\r\n";
    String body = "{\"request\":\"" + id + "\"}";
    if (random.nextBoolean()) {
      byte[] end = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
      Http1.write(socket, head + "Transfer-Encoding: chunked\r\n\r\n", Http1.chunk(body));
      Http1.write(socket, "", end);
    } else {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      Http1.write(socket, head + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
    }
  }

  private void closeConnection() {
    Connection current = connection;
    connection = null;
    if (current == null) {
      return;
    }
    try {
      current.socket.close();
    } catch (IOException e) {
      // It has ended either way.
      return;
    }
  }
}
