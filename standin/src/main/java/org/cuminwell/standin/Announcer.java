package org.cuminwell.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** Tells gateways that an endpoint is there and how busy it is. Thread safe. */
final class Announcer {

  private static final Duration PERIOD = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int TIME_TO_LIVE_MILLIS = 3_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final StandinFlags flags;
  private final Endpoint endpoint;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final long incarnation = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();

  private Announcer(StandinFlags flags, Endpoint endpoint) {
    this.flags = flags;
    this.endpoint = endpoint;
  }

  /** Starts telling every gateway, again and again. */
  static Announcer start(StandinFlags flags, Endpoint endpoint) {
    Announcer announcer = new Announcer(flags, endpoint);
    for (String gateway : flags.gateways) {
      Thread.ofVirtual().name("announce-" + gateway).start(() -> announcer.repeat(gateway));
    }
    return announcer;
  }

  /** Tells every gateway that the endpoint leaves. */
  void leave() {
    flags.gateways.forEach(gateway -> post(gateway, "leave", self()));
  }

  private void repeat(String gateway) {
    try {
      while (true) {
        post(gateway, "announce", announcement());
        post(gateway, "load", load());
        Thread.sleep(PERIOD);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode announcement() {
    ObjectNode node = self();
    node.put("region", flags.region);
    node.put("data_centre", flags.dataCentre);
    node.put("address", flags.listen);
    var services = node.putArray("services");
    flags.serves.forEach(services::add);
    node.put("version", flags.version);
    node.put("capacity", flags.capacity);
    node.put("ttl_ms", TIME_TO_LIVE_MILLIS);
    return node;
  }

  private ObjectNode load() {
    return self()
        .put("sequence", sequence.incrementAndGet())
        .put("running", endpoint.running())
        .put("queued", endpoint.queued());
  }

  private ObjectNode self() {
    return MAPPER
        .createObjectNode()
        .put("endpoint", flags.endpoint)
        .put("incarnation", incarnation);
  }

  private void post(String gateway, String what, ObjectNode body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + gateway + "/v1/endpoints/" + what))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build();
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() != 200) {
        System.err.println(gateway + " refused " + what + ": " + answer.body().strip());
      }
    } catch (IOException e) {
      // The gateway is away; the next round tries again.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
