package org.cuminwell.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.control.Control;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.gateway.Gateway;
import org.cuminwell.core.gateway.GatewayAction;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Joins the cores of control hosts and gateways by links without faults.
 *
 * <p>Invariant: a message arrives one step after it was sent. Not thread safe.
 */
final class CoreFleet {

  static final Duration STEP = Duration.ofMillis(50);

  private static final int STEPS_A_GATEWAY_TICK = 2;

  final Map<HostId, Control> controls = new TreeMap<>();
  final Map<HostId, Gateway> gateways = new TreeMap<>();
  private final Observer observer;
  private final int centres;
  private List<Flight> flights = new ArrayList<>();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long step;

  private record Flight(HostId from, HostId to, PeerMessage message) {}

  /** Sees what the processes decide. */
  interface Observer {

    /** Reports a message between two processes. */
    default void onSent(HostId from, HostId to, PeerMessage message) {}

    /** Reports what a gateway decided on a forwarded request. */
    default void onForward(HostId gateway, ForwardAction action) {}
  }

  CoreFleet(int gatewayCount, int centres, int controlCount, Observer observer) {
    this.observer = observer;
    this.centres = centres;
    List<HostId> voters =
        IntStream.range(0, controlCount).mapToObj(i -> new HostId("c" + i)).toList();
    voters.forEach(id -> controls.put(id, control(id, voters)));
    for (int i = 0; i < gatewayCount; i++) {
      HostDescription self = description(i);
      gateways.put(self.id(), new Gateway(self, 1, ForwardBounds.DEFAULT, new SplittableRandom(i)));
    }
    connectAll();
  }

  /** Advances the time by one step, delivers messages and fires the timers. */
  void step() {
    step++;
    now = now.plus(STEP);
    deliver();
    controls.keySet().forEach(id -> handle(id, new ControlEvent.Ticked()));
    if (step % STEPS_A_GATEWAY_TICK == 0) {
      gateways.keySet().forEach(id -> handle(id, new GatewayEvent.Ticked()));
    }
  }

  Instant now() {
    return now;
  }

  /** Stops a process for good; its peers lose their connections to it. */
  void remove(HostId id) {
    controls.remove(id);
    gateways.remove(id);
    controls.keySet().forEach(peer -> handle(peer, new ControlEvent.PeerDisconnected(id)));
    gateways.keySet().forEach(peer -> handle(peer, new GatewayEvent.PeerDisconnected(id)));
  }

  /** Replaces a gateway by one that has just started and knows nothing. */
  void restartGateway(int number) {
    HostDescription self = description(number);
    remove(self.id());
    gateways.put(
        self.id(), new Gateway(self, 1, ForwardBounds.DEFAULT, new SplittableRandom(number)));
    controls.keySet().forEach(control -> connect(control, self.id()));
    neighbours(self.id()).forEach(neighbour -> connect(neighbour, self.id()));
  }

  /** Lets a gateway handle an event; without effect if it is not running. */
  void handle(HostId self, GatewayEvent event) {
    Gateway gateway = gateways.get(self);
    if (gateway == null) {
      return;
    }
    for (GatewayAction action : gateway.handle(event, now)) {
      switch (action) {
        case GatewayAction.SendToPeer a -> send(self, a.peer(), a.message());
        case GatewayAction.Forward a -> observer.onForward(self, a.action());
        default -> {}
      }
    }
  }

  /** Lets a control host handle an event; without effect if it is not running. */
  void handle(HostId self, ControlEvent event) {
    Control control = controls.get(self);
    if (control == null) {
      return;
    }
    for (ControlAction action : control.handle(event, now)) {
      switch (action) {
        case ControlAction.SendToPeer a -> send(self, a.peer(), a.message());
        case ControlAction.WriteJournal a ->
            handle(self, new ControlEvent.JournalSynced(a.write().sequence()));
        default -> {}
      }
    }
  }

  /** Returns the place of the data centre with this number; two of them make a region. */
  static Place place(int centre) {
    return new Place(new RegionId("r" + centre / 2), new DataCentreId("d" + centre));
  }

  static HostAddress address(int number) {
    return new HostAddress("10.0." + number / 250 + "." + number % 250, 7600);
  }

  private Control control(HostId id, List<HostId> voters) {
    ReplicatedStateMachine replicatedStateMachine =
        new ReplicatedStateMachine(
            id,
            new HostAddress(id.value(), 7600),
            DurableState.empty(HardState.founding(new Founding(Set.copyOf(voters), Set.of()), 1)),
            new SplittableRandom(id.hashCode()),
            LogLimits.forHeap(Runtime.getRuntime().maxMemory()),
            CommandCodec::roundTrip,
            now);
    return new Control(id, Set.of(), replicatedStateMachine, now);
  }

  private HostDescription description(int number) {
    HostAddress address = address(number);
    return new HostDescription(
        new HostId("g" + number), place(number % centres), address, address, address, 0, false);
  }

  private void connectAll() {
    List<HostId> all = new ArrayList<>(controls.keySet());
    for (HostId gateway : gateways.keySet()) {
      controls.keySet().forEach(control -> connect(control, gateway));
      neighbours(gateway).stream()
          .filter(neighbour -> neighbour.compareTo(gateway) < 0)
          .forEach(neighbour -> connect(neighbour, gateway));
    }
    for (HostId control : all) {
      all.stream()
          .filter(other -> other.compareTo(control) < 0)
          .forEach(other -> connect(other, control));
    }
  }

  private List<HostId> neighbours(HostId gateway) {
    return gateways.keySet().stream()
        .filter(other -> !other.equals(gateway) && centre(other) == centre(gateway))
        .toList();
  }

  private int centre(HostId gateway) {
    return Integer.parseInt(gateway.value().substring(1)) % centres;
  }

  private void connect(HostId one, HostId other) {
    reportConnected(one, other);
    reportConnected(other, one);
  }

  private void reportConnected(HostId self, HostId peer) {
    handle(self, new ControlEvent.PeerConnected(peer));
    handle(self, new GatewayEvent.PeerConnected(peer));
  }

  private void deliver() {
    List<Flight> due = flights;
    flights = new ArrayList<>();
    for (Flight flight : due) {
      handle(flight.to(), new ControlEvent.PeerMessageReceived(flight.from(), flight.message()));
      handle(flight.to(), new GatewayEvent.PeerMessageReceived(flight.from(), flight.message()));
    }
  }

  private void send(HostId from, HostId to, PeerMessage message) {
    flights.add(new Flight(from, to, message));
    observer.onSent(from, to, message);
  }
}
