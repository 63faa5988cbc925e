package org.cuminwell.core.distribution;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.directory.ConnectedPeers;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Simulates publishers and subscribers on links that lose, duplicate and reorder messages, as
 * determined by a seed.
 *
 * <p>Checks at each step that no gateway's revision decreases, except when a gateway without a disk
 * restarts, and that its configuration is the one committed at that revision. Not thread safe.
 */
final class DistributionCluster {

  static final HostId LEADER = new HostId("c0");
  static final HostId LAGGING = new HostId("c1");

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration STEP = Duration.ofMillis(50);

  private final SplittableRandom random;
  private final List<Configuration> committed = new ArrayList<>(List.of(Configuration.EMPTY));
  private final Map<HostId, Publisher> controls = new TreeMap<>();
  private final Map<HostId, GatewayNode> gateways = new TreeMap<>();
  private final Set<Set<HostId>> disconnected = new HashSet<>();
  private final List<InFlightMessage> inFlight = new ArrayList<>();
  private Instant now = START;
  private boolean faulty;
  private long fullConfigurationsSent;
  private long differencesSentByLeader;

  private record InFlightMessage(HostId from, HostId to, PeerMessage message) {}

  /** Holds the state of one gateway's process and disk. */
  private static final class GatewayNode {
    final HostDescription host;
    final boolean hasDisk;
    ConnectedPeers connectedPeers;
    ConfigurationHolder holder = new ConfigurationHolder();
    Subscriber subscriber;
    Configuration disk = Configuration.EMPTY;
    Revision lowestAllowed = Revision.ZERO;
    boolean up = true;

    GatewayNode(HostDescription host, boolean hasDisk) {
      this.host = host;
      this.hasDisk = hasDisk;
      connectedPeers = new ConnectedPeers(host.place());
      subscriber = new Subscriber(host.id(), connectedPeers, holder);
    }

    void restart() {
      holder = new ConfigurationHolder();
      if (hasDisk) {
        holder.applyIfNewer(disk);
      }
      lowestAllowed = holder.revision();
      connectedPeers = new ConnectedPeers(host.place());
      subscriber = new Subscriber(host.id(), connectedPeers, holder);
      up = true;
    }
  }

  DistributionCluster(long seed) {
    random = new SplittableRandom(seed);
    controls.put(LEADER, new Publisher(Set.of()));
    controls.put(LAGGING, new Publisher(Set.of()));
    int number = 0;
    for (String centre : List.of("dakar", "tamba")) {
      for (int i = 0; i < 3; i++) {
        HostDescription host = describe("g" + number++, centre);
        gateways.put(host.id(), new GatewayNode(host, i != 1));
      }
    }
    gateways.keySet().forEach(this::connectAll);
  }

  static HostDescription describe(String id, String centre) {
    Place place = new Place(new RegionId("coast"), new DataCentreId(centre));
    HostAddress address = new HostAddress("127.0.0.1", 1);
    return new HostDescription(new HostId(id), place, address, address, address, 0, false);
  }

  void setFaulty(boolean on) {
    faulty = on;
  }

  /** Commits a change. The lagging control host receives only the first changes. */
  void commit() {
    Configuration previous = committed.getLast();
    CustomerId id = new CustomerId("m" + random.nextInt(20));
    Customer customer =
        new Customer(id, Set.of(), new TokenLimit(1 + random.nextInt(1000), 5000), Set.of());
    ConfigurationChange change =
        new ConfigurationChange(
            Map.of(id, random.nextInt(4) == 0 ? Optional.empty() : Optional.of(customer)),
            Map.of(),
            Map.of(),
            Map.of());
    Configuration next = previous.apply(previous.revision().next(), change);
    committed.add(next);
    publisher(LEADER).publish(next, change);
    if (next.revision().value() < 5) {
      publisher(LAGGING).publish(next, change);
    }
  }

  Publisher publisher(HostId control) {
    return java.util.Objects.requireNonNull(controls.get(control));
  }

  Revision latest() {
    return committed.getLast().revision();
  }

  List<HostId> gateways() {
    return List.copyOf(gateways.keySet());
  }

  Revision revision(HostId gateway) {
    return node(gateway).holder.revision();
  }

  boolean isServing(HostId gateway) {
    return node(gateway).subscriber.isServing();
  }

  long fullConfigurationsSent() {
    return fullConfigurationsSent;
  }

  /** Returns how many differences the leading control host has sent. */
  long differencesSentByLeader() {
    return differencesSentByLeader;
  }

  /** Stops the gateway's process and drops its messages in flight. */
  void kill(HostId gateway) {
    GatewayNode gatewayNode = node(gateway);
    gatewayNode.up = false;
    peersOf(gateway).forEach(peer -> onDisconnected(peer, gateway));
    inFlight.removeIf(
        inFlightMessage ->
            inFlightMessage.from().equals(gateway) || inFlightMessage.to().equals(gateway));
  }

  /** Starts the gateway's process again; without a disk it has no configuration. */
  void restart(HostId gateway) {
    node(gateway).restart();
    connectAll(gateway);
  }

  void disconnect(HostId a, HostId b) {
    if (disconnected.add(Set.of(a, b))) {
      onDisconnected(a, b);
      onDisconnected(b, a);
      inFlight.removeIf(
          inFlightMessage ->
              Set.of(inFlightMessage.from(), inFlightMessage.to()).equals(Set.of(a, b)));
    }
  }

  /** Disconnects the gateways from all control hosts. */
  void disconnectFromControl(List<HostId> centre) {
    centre.forEach(gateway -> controls.keySet().forEach(control -> disconnect(gateway, control)));
  }

  void reconnectAll() {
    Set<Set<HostId>> reconnected = new HashSet<>(disconnected);
    disconnected.clear();
    for (Set<HostId> pair : reconnected) {
      List<HostId> ends = pair.stream().sorted().toList();
      connect(ends.get(0), ends.get(1));
    }
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      now = now.plus(STEP);
      controls.forEach((id, control) -> send(id, control.tick(now)));
      gateways.forEach(
          (id, gatewayNode) -> {
            if (gatewayNode.up) {
              send(id, gatewayNode.subscriber.tick(now));
            }
          });
      deliver();
      gateways.values().forEach(this::check);
    }
  }

  /**
   * Checks that the gateway's revision has not decreased and that it has the committed
   * configuration.
   */
  private void check(GatewayNode gatewayNode) {
    Revision revision = gatewayNode.holder.revision();
    if (gatewayNode.lowestAllowed.isAfter(revision)) {
      throw new AssertionError(gatewayNode.host.id() + " decreased to " + revision);
    }
    gatewayNode.lowestAllowed = revision;
    if (gatewayNode.hasDisk) {
      gatewayNode.disk = gatewayNode.holder.index().configuration();
    }
    Configuration wanted = committed.get((int) revision.value());
    if (!wanted.equals(gatewayNode.holder.index().configuration())) {
      throw new AssertionError(
          gatewayNode.host.id() + " does not have the committed configuration at " + revision);
    }
  }

  /** Delivers the messages in flight; if the links are faulty, loses, delays or duplicates some. */
  private void deliver() {
    List<InFlightMessage> due = new ArrayList<>(inFlight);
    inFlight.clear();
    for (InFlightMessage inFlightMessage : due) {
      int outcome = faulty ? random.nextInt(10) : 9;
      switch (outcome) {
        case 0, 1 -> {}
        case 2 -> inFlight.add(inFlightMessage);
        case 3 -> {
          receive(inFlightMessage);
          inFlight.add(random.nextInt(inFlight.size() + 1), inFlightMessage);
        }
        default -> receive(inFlightMessage);
      }
    }
  }

  private void receive(InFlightMessage inFlightMessage) {
    if (controls.containsKey(inFlightMessage.to())) {
      receiveAtControl(inFlightMessage);
      return;
    }
    GatewayNode gatewayNode = node(inFlightMessage.to());
    if (!gatewayNode.up
        || disconnected.contains(Set.of(inFlightMessage.from(), inFlightMessage.to()))) {
      return;
    }
    switch (inFlightMessage.message()) {
      case PeerMessage.Distribution m ->
          send(
              inFlightMessage.to(),
              gatewayNode.subscriber.onMessage(inFlightMessage.from(), m.message(), now));
      default -> {}
    }
  }

  private void receiveAtControl(InFlightMessage inFlightMessage) {
    Publisher control = publisher(inFlightMessage.to());
    switch (inFlightMessage.message()) {
      case PeerMessage.Distribution m ->
          send(inFlightMessage.to(), control.onMessage(inFlightMessage.from(), m.message(), now));
      case PeerMessage.Directory m ->
          send(inFlightMessage.to(), control.onMessage(inFlightMessage.from(), m.message(), now));
      default -> {}
    }
  }

  private void send(HostId from, List<OutgoingMessage> messages) {
    for (OutgoingMessage out : messages) {
      if (disconnected.contains(Set.of(from, out.peer()))) {
        continue;
      }
      if (out.message() instanceof PeerMessage.Distribution d
          && d.message() instanceof DistributionMessage.Full) {
        fullConfigurationsSent++;
      }
      if (from.equals(LEADER)
          && out.message() instanceof PeerMessage.Distribution d
          && d.message() instanceof DistributionMessage.Difference) {
        differencesSentByLeader++;
      }
      inFlight.add(new InFlightMessage(from, out.peer(), out.message()));
    }
  }

  private void connectAll(HostId gateway) {
    peersOf(gateway).forEach(peer -> connect(gateway, peer));
  }

  /** Returns the control hosts and the other gateways of the same data centre. */
  private List<HostId> peersOf(HostId gateway) {
    List<HostId> peers = new ArrayList<>(controls.keySet());
    gateways.values().stream()
        .filter(gatewayNode -> gatewayNode.host.place().equals(node(gateway).host.place()))
        .map(gatewayNode -> gatewayNode.host.id())
        .filter(id -> !id.equals(gateway))
        .forEach(peers::add);
    return peers;
  }

  /**
   * Connects two processes. A gateway's description reaches a control host directly and is never
   * lost; other messages may be.
   */
  private void connect(HostId a, HostId b) {
    if (!isUp(a) || !isUp(b) || disconnected.contains(Set.of(a, b))) {
      return;
    }
    onConnected(a, b);
    onConnected(b, a);
  }

  /** Handles a new connection between {@code at} and {@code peer} on the side of {@code at}. */
  private void onConnected(HostId at, HostId peer) {
    Publisher control = controls.get(at);
    if (control != null) {
      HostDescription host = node(peer).host;
      send(at, control.onConnected(peer));
      send(at, control.onMessage(peer, new DirectoryMessage.GatewayHello(host), now));
      return;
    }
    GatewayNode gatewayNode = node(at);
    if (controls.containsKey(peer)) {
      gatewayNode.connectedPeers.addControlHost(peer);
    } else {
      gatewayNode.connectedPeers.addGateway(node(peer).host);
    }
    send(at, gatewayNode.subscriber.onConnected(peer));
  }

  /** Handles the end of a connection on the side of {@code at}. */
  private void onDisconnected(HostId at, HostId peer) {
    Publisher control = controls.get(at);
    if (control != null) {
      control.onDisconnected(peer, now);
    } else {
      GatewayNode gatewayNode = node(at);
      gatewayNode.connectedPeers.remove(peer);
      gatewayNode.subscriber.onDisconnected(peer);
    }
  }

  boolean isUp(HostId host) {
    return controls.containsKey(host) || node(host).up;
  }

  private GatewayNode node(HostId gateway) {
    return java.util.Objects.requireNonNull(gateways.get(gateway));
  }
}
