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
 * Joins publishers and subscribers by links that lose, double and reorder messages as a seed says.
 *
 * <p>Checks at each step that no gateway's revision goes down while its process, or its disk,
 * lasts, and that its content is the one that was committed at that revision. Not thread safe.
 */
final class DistributionCluster {

  static final HostId LEADER = new HostId("c0");
  static final HostId BEHIND = new HostId("c1");

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration STEP = Duration.ofMillis(50);

  private final SplittableRandom random;
  private final List<Configuration> committed = new ArrayList<>(List.of(Configuration.EMPTY));
  private final Map<HostId, Publisher> controls = new TreeMap<>();
  private final Map<HostId, Node> gateways = new TreeMap<>();
  private final Set<Set<HostId>> cut = new HashSet<>();
  private final List<Flight> flights = new ArrayList<>();
  private Instant now = START;
  private boolean faulty;
  private long fullsSent;
  private long sentByControl;

  private record Flight(HostId from, HostId to, PeerMessage message) {}

  /** Holds one gateway's process and disk. */
  private static final class Node {
    final HostDescription host;
    final boolean hasDisk;
    ConnectedPeers contacts;
    ConfigurationHolder holder = new ConfigurationHolder();
    Subscriber subscriber;
    Configuration disk = Configuration.EMPTY;
    Revision lowestAllowed = Revision.ZERO;
    boolean up = true;

    Node(HostDescription host, boolean hasDisk) {
      this.host = host;
      this.hasDisk = hasDisk;
      contacts = new ConnectedPeers(host.place());
      subscriber = new Subscriber(host.id(), contacts, holder);
    }

    void restart() {
      holder = new ConfigurationHolder();
      if (hasDisk) {
        holder.applyIfNewer(disk);
      }
      lowestAllowed = holder.revision();
      contacts = new ConnectedPeers(host.place());
      subscriber = new Subscriber(host.id(), contacts, holder);
      up = true;
    }
  }

  DistributionCluster(long seed) {
    random = new SplittableRandom(seed);
    controls.put(LEADER, new Publisher(Set.of()));
    controls.put(BEHIND, new Publisher(Set.of()));
    int number = 0;
    for (String centre : List.of("dakar", "tamba")) {
      for (int i = 0; i < 3; i++) {
        HostDescription host = describe("g" + number++, centre);
        gateways.put(host.id(), new Node(host, i != 1));
      }
    }
    gateways.keySet().forEach(this::connectAll);
  }

  static HostDescription describe(String id, String centre) {
    Place place = new Place(new RegionId("coast"), new DataCentreId(centre));
    HostAddress address = new HostAddress("127.0.0.1", 1);
    return new HostDescription(new HostId(id), place, address, address, address, 0, false);
  }

  void faulty(boolean on) {
    faulty = on;
  }

  /** Commits a change; the control host that is behind does not learn of it. */
  void commit() {
    Configuration last = committed.getLast();
    CustomerId id = new CustomerId("m" + random.nextInt(20));
    Customer customer =
        new Customer(id, Set.of(), new TokenLimit(1 + random.nextInt(1000), 5000), Set.of());
    ConfigurationChange change =
        new ConfigurationChange(
            Map.of(id, random.nextInt(4) == 0 ? Optional.empty() : Optional.of(customer)),
            Map.of(),
            Map.of(),
            Map.of());
    Configuration next = last.apply(last.revision().next(), change);
    committed.add(next);
    publisher(LEADER).publish(next, change);
    if (next.revision().value() < 5) {
      publisher(BEHIND).publish(next, change);
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

  long fullsSent() {
    return fullsSent;
  }

  /** Counts the messages by which the leading control host has brought changes. */
  long sentByControl() {
    return sentByControl;
  }

  void kill(HostId gateway) {
    Node node = node(gateway);
    node.up = false;
    peersOf(gateway).forEach(peer -> lose(peer, gateway));
    flights.removeIf(flight -> flight.from().equals(gateway) || flight.to().equals(gateway));
  }

  void restart(HostId gateway) {
    node(gateway).restart();
    connectAll(gateway);
  }

  void cut(HostId a, HostId b) {
    if (cut.add(Set.of(a, b))) {
      lose(a, b);
      lose(b, a);
      flights.removeIf(flight -> Set.of(flight.from(), flight.to()).equals(Set.of(a, b)));
    }
  }

  /** Cuts a data centre from both control hosts. */
  void cutOff(List<HostId> centre) {
    centre.forEach(gateway -> controls.keySet().forEach(control -> cut(gateway, control)));
  }

  void healAll() {
    Set<Set<HostId>> healed = new HashSet<>(cut);
    cut.clear();
    for (Set<HostId> pair : healed) {
      List<HostId> ends = pair.stream().sorted().toList();
      connect(ends.get(0), ends.get(1));
    }
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      now = now.plus(STEP);
      controls.forEach((id, control) -> send(id, control.tick(now)));
      gateways.forEach(
          (id, node) -> {
            if (node.up) {
              send(id, node.subscriber.tick(now));
            }
          });
      deliver();
      gateways.values().forEach(this::check);
    }
  }

  private void check(Node node) {
    Revision revision = node.holder.revision();
    if (node.lowestAllowed.isAfter(revision)) {
      throw new AssertionError(node.host.id() + " went back to " + revision);
    }
    node.lowestAllowed = revision;
    if (node.hasDisk) {
      node.disk = node.holder.index().configuration();
    }
    Configuration wanted = committed.get((int) revision.value());
    if (!wanted.equals(node.holder.index().configuration())) {
      throw new AssertionError(node.host.id() + " holds other content at " + revision);
    }
  }

  private void deliver() {
    List<Flight> now = new ArrayList<>(flights);
    flights.clear();
    for (Flight flight : now) {
      int fate = faulty ? random.nextInt(10) : 9;
      switch (fate) {
        case 0, 1 -> {}
        case 2 -> flights.add(flight);
        case 3 -> {
          receive(flight);
          flights.add(random.nextInt(flights.size() + 1), flight);
        }
        default -> receive(flight);
      }
    }
  }

  private void receive(Flight flight) {
    if (controls.containsKey(flight.to())) {
      receiveAtControl(flight);
      return;
    }
    Node node = node(flight.to());
    if (!node.up || cut.contains(Set.of(flight.from(), flight.to()))) {
      return;
    }
    switch (flight.message()) {
      case PeerMessage.Distribution m ->
          send(flight.to(), node.subscriber.onMessage(flight.from(), m.message(), now));
      default -> {}
    }
  }

  private void receiveAtControl(Flight flight) {
    Publisher control = publisher(flight.to());
    switch (flight.message()) {
      case PeerMessage.Distribution m ->
          send(flight.to(), control.onMessage(flight.from(), m.message(), now));
      case PeerMessage.Directory m ->
          send(flight.to(), control.onMessage(flight.from(), m.message(), now));
      default -> {}
    }
  }

  private void send(HostId from, List<OutgoingMessage> messages) {
    for (OutgoingMessage out : messages) {
      if (cut.contains(Set.of(from, out.peer()))) {
        continue;
      }
      if (out.message() instanceof PeerMessage.Distribution d
          && d.message() instanceof DistributionMessage.Full) {
        fullsSent++;
      }
      if (from.equals(LEADER)
          && out.message() instanceof PeerMessage.Distribution d
          && d.message() instanceof DistributionMessage.Difference) {
        sentByControl++;
      }
      flights.add(new Flight(from, out.peer(), out.message()));
    }
  }

  private void connectAll(HostId gateway) {
    peersOf(gateway).forEach(peer -> connect(gateway, peer));
  }

  private List<HostId> peersOf(HostId gateway) {
    List<HostId> peers = new ArrayList<>(controls.keySet());
    gateways.values().stream()
        .filter(node -> node.host.place().equals(node(gateway).host.place()))
        .map(node -> node.host.id())
        .filter(id -> !id.equals(gateway))
        .forEach(peers::add);
    return peers;
  }

  /** Joins two processes; what they say first about themselves never gets lost. */
  private void connect(HostId a, HostId b) {
    if (!isUp(a) || !isUp(b) || cut.contains(Set.of(a, b))) {
      return;
    }
    greet(a, b);
    greet(b, a);
  }

  private void greet(HostId at, HostId peer) {
    Publisher control = controls.get(at);
    if (control != null) {
      HostDescription host = node(peer).host;
      send(at, control.onConnected(peer));
      send(at, control.onMessage(peer, new DirectoryMessage.GatewayHello(host), now));
      return;
    }
    Node node = node(at);
    if (controls.containsKey(peer)) {
      node.contacts.addControlHost(peer);
    } else {
      node.contacts.addGateway(node(peer).host);
    }
    send(at, node.subscriber.onConnected(peer));
  }

  private void lose(HostId at, HostId peer) {
    Publisher control = controls.get(at);
    if (control != null) {
      control.onDisconnected(peer, now);
    } else {
      Node node = node(at);
      node.contacts.remove(peer);
      node.subscriber.onDisconnected(peer);
    }
  }

  boolean isUp(HostId host) {
    return controls.containsKey(host) || node(host).up;
  }

  private Node node(HostId gateway) {
    return java.util.Objects.requireNonNull(gateways.get(gateway));
  }
}
