package org.cuminwell.shell.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.peer.PeerListener;
import org.cuminwell.shell.peer.PeerNode;

/** Runs a gateway with a control peer that gives it a configuration. Thread safe. */
final class GatewayFixture implements AutoCloseable {

  static final String KEY = "key-of-mbour";
  static final String ELSEWHERE_KEY = "key-of-saloum";
  static final Duration TIMEOUT = Duration.ofSeconds(9);

  private static final RegionId REGION = new RegionId("coast");
  private static final DataCentreId DATA_CENTRE = new DataCentreId("dakar");

  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final GatewayProcess process;
  private final PeerNode control;
  private final HostDescription self;

  private GatewayFixture() throws IOException, InterruptedException {
    HostAddress controlAddress = FreePorts.next();
    AtomicReference<PeerNode> node = new AtomicReference<>();
    control = new PeerNode(new HostId("c0"), configure(node), Optional.empty());
    node.set(control);
    control.listen(controlAddress);
    self =
        new HostDescription(
            new HostId("g0"),
            new Place(REGION, DATA_CENTRE),
            FreePorts.next(),
            FreePorts.next(),
            FreePorts.next(),
            0,
            false);
    process =
        GatewayProcess.start(
            new GatewaySettings(
                self,
                1,
                List.of(controlAddress),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    while (send(inner("/readyz").GET()).statusCode() != 200) {
      Thread.sleep(10);
    }
  }

  static GatewayFixture start() throws IOException, InterruptedException {
    return new GatewayFixture();
  }

  /** Announces an endpoint that serves the model and the plain service. */
  void announce(String name, int port) throws IOException, InterruptedException {
    String json =
        """
        {"endpoint":"%s","incarnation":1,"region":"coast","data_centre":"dakar",\
        "address":"127.0.0.1:%d","services":["m","sacks"],"version":"v1","capacity":8,\
        "ttl_ms":60000}"""
            .formatted(name, port);
    send(inner("/v1/endpoints/announce").POST(HttpRequest.BodyPublishers.ofString(json)));
  }

  int callersPort() {
    return self.callerAddress().port();
  }

  HttpResponse<String> chat(boolean stream) throws IOException, InterruptedException {
    String body =
        "{\"model\":\"m\",\"stream\":"
            + stream
            + ",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"grade?\"}]}";
    return send(callers("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  HttpResponse<String> plain(String method) throws IOException, InterruptedException {
    return send(
        callers("/r/sacks/book?n=1").method(method, HttpRequest.BodyPublishers.ofString("{}")));
  }

  HttpRequest.Builder callers(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + self.callerAddress() + path))
        .header("Authorization", "Bearer " + KEY);
  }

  HttpRequest.Builder inner(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + self.internalAddress() + path));
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() {
    process.close();
    control.close();
    client.close();
  }

  private static PeerListener configure(AtomicReference<PeerNode> node) {
    return new PeerListener() {
      @Override
      public void onConnected(HostId peer) {
        var full = new DistributionMessage.Full(configuration());
        node.get().send(peer, new PeerMessage.Distribution(full));
      }

      @Override
      public void onDisconnected(HostId peer) {}

      @Override
      public void onMessage(HostId peer, PeerMessage message) {}
    };
  }

  private static Configuration configuration() {
    Route chat = route("chat", new Service.Model("m"));
    Route sacks = route("sacks", new Service.Plain("sacks", Set.of("GET")));
    Customer mbour = customer("mbour", KEY, Set.of());
    Customer saloum = customer("saloum", ELSEWHERE_KEY, Set.of(new RegionId("basin")));
    return new Configuration(
        new Revision(1),
        Map.of(mbour.id(), mbour, saloum.id(), saloum),
        Map.of(chat.id(), chat, sacks.id(), sacks),
        Map.of(REGION, new Region(REGION, Set.of(DATA_CENTRE))),
        Map.of());
  }

  private static Route route(String id, Service service) {
    return new Route(new RouteId(id), service, Set.of(), Optional.empty(), TIMEOUT);
  }

  private static Customer customer(String id, String key, Set<RegionId> boundTo) {
    return new Customer(
        new CustomerId(id), Set.of(KeyHash.of(key)), new TokenLimit(1_000_000, 1_000_000), boundTo);
  }
}
