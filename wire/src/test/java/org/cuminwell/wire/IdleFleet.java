package org.cuminwell.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.control.Control;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.gateway.Gateway;
import org.cuminwell.core.gateway.GatewayAction;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Joins the cores of control hosts and gateways that nobody calls, by links without faults, and
 * counts what they tell each other.
 *
 * <p>Endpoints announce themselves to control hosts. Invariant: a message arrives one step after it
 * was sent. Not thread safe.
 */
final class IdleFleet {

  static final Duration TIME_TO_LIVE = Duration.ofSeconds(10);

  private static final Duration STEP = Duration.ofMillis(50);
  private static final int STEPS_A_SECOND = 20;
  private static final int STEPS_A_GATEWAY_TICK = 2;
  private static final int STEPS_AN_ANNOUNCEMENT = 24;
  private static final int FRAME_LENGTH_BYTES = 4;

  private final Map<HostId, Control> controls = new TreeMap<>();
  private final Map<HostId, Gateway> gateways = new TreeMap<>();
  private final List<Announcement> endpoints;
  private final IdentityHashMap<PeerMessage, Integer> sizes = new IdentityHashMap<>();
  private List<Flight> flights = new ArrayList<>();
  private Map<String, Traffic> traffic = new TreeMap<>();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long step;

  private record Flight(HostId from, HostId to, PeerMessage message) {}

  /** Counts messages and their bytes. */
  record Traffic(long messages, long bytes) {

    Traffic plus(Traffic more) {
      return new Traffic(messages + more.messages, bytes + more.bytes);
    }
  }

  IdleFleet(int gatewayCount, int centres, int controlCount, int endpointCount) {
    List<HostId> voters =
        IntStream.range(0, controlCount).mapToObj(i -> new HostId("c" + i)).toList();
    for (HostId id : voters) {
      ReplicatedStateMachine replicatedStateMachine =
          new ReplicatedStateMachine(
              id,
              Set.copyOf(voters),
              DurableState.empty(HardState.founding()),
              new SplittableRandom(id.hashCode()),
              ReplicatedStateMachine.MAX_LOG_ENTRIES,
              now);
      controls.put(id, new Control(id, Set.of(), replicatedStateMachine));
    }
    for (int i = 0; i < gatewayCount; i++) {
      HostDescription self =
          new HostDescription(
              new HostId("g" + i),
              place(i % centres),
              address(i),
              address(i),
              address(i),
              0,
              false);
      gateways.put(self.id(), new Gateway(self, 1, new SplittableRandom(i)));
    }
    endpoints = IntStream.range(0, endpointCount).mapToObj(i -> endpoint(i, centres)).toList();
    connect(centres);
  }

  /** Lets the time go by, and returns what was sent meanwhile, by subject and direction. */
  Map<String, Traffic> run(int seconds) {
    traffic = new TreeMap<>();
    for (int i = 0; i < seconds * STEPS_A_SECOND; i++) {
      step++;
      now = now.plus(STEP);
      deliver();
      announce();
      controls.forEach((id, control) -> perform(id, control, new ControlEvent.Ticked()));
      if (step % STEPS_A_GATEWAY_TICK == 0) {
        gateways.forEach((id, gateway) -> perform(id, gateway, new GatewayEvent.Ticked()));
      }
      sizes.clear();
    }
    return traffic;
  }

  private void connect(int centres) {
    for (HostId control : controls.keySet()) {
      controls.keySet().stream().filter(c -> !c.equals(control)).forEach(c -> meet(control, c));
      gateways.keySet().forEach(gateway -> meet(control, gateway));
    }
    List<HostId> all = List.copyOf(gateways.keySet());
    for (HostId gateway : all) {
      controls.keySet().forEach(control -> meet(gateway, control));
      all.stream()
          .filter(
              other -> !other.equals(gateway) && centre(other, centres) == centre(gateway, centres))
          .forEach(other -> meet(gateway, other));
    }
  }

  private void meet(HostId self, HostId peer) {
    Control control = controls.get(self);
    if (control != null) {
      perform(self, control, new ControlEvent.PeerConnected(peer));
    }
    Gateway gateway = gateways.get(self);
    if (gateway != null) {
      perform(self, gateway, new GatewayEvent.PeerConnected(peer));
    }
  }

  private void announce() {
    List<Map.Entry<HostId, Control>> heard = List.copyOf(controls.entrySet());
    for (int i = 0; i < endpoints.size(); i++) {
      if ((step + i) % STEPS_AN_ANNOUNCEMENT == 0) {
        Map.Entry<HostId, Control> control = heard.get(i % heard.size());
        ControlEvent news = new ControlEvent.EndpointAnnounced(endpoints.get(i));
        perform(control.getKey(), control.getValue(), news);
      }
    }
  }

  private void deliver() {
    List<Flight> due = flights;
    flights = new ArrayList<>();
    for (Flight flight : due) {
      Control control = controls.get(flight.to());
      if (control != null) {
        perform(
            flight.to(),
            control,
            new ControlEvent.PeerMessageReceived(flight.from(), flight.message()));
      }
      Gateway gateway = gateways.get(flight.to());
      if (gateway != null) {
        perform(
            flight.to(),
            gateway,
            new GatewayEvent.PeerMessageReceived(flight.from(), flight.message()));
      }
    }
  }

  private void perform(HostId self, Control control, ControlEvent event) {
    for (ControlAction action : control.handle(event, now)) {
      if (action instanceof ControlAction.SendToPeer tell) {
        send(self, tell.peer(), tell.message());
      } else if (action instanceof ControlAction.WriteJournal write) {
        perform(self, control, new ControlEvent.JournalSynced(write.write().sequence()));
      }
    }
  }

  private void perform(HostId self, Gateway gateway, GatewayEvent event) {
    for (GatewayAction action : gateway.handle(event, now)) {
      if (action instanceof GatewayAction.SendToPeer tell) {
        send(self, tell.peer(), tell.message());
      }
    }
  }

  private void send(HostId from, HostId to, PeerMessage message) {
    flights.add(new Flight(from, to, message));
    int bytes = sizes.computeIfAbsent(message, IdleFleet::size);
    String ends =
        (controls.containsKey(from) ? "control" : "gateway")
            + (controls.containsKey(to) ? " to control" : " to gateway");
    String subject = message.getClass().getSimpleName();
    traffic.merge(ends + ": " + subject, new Traffic(1, bytes), Traffic::plus);
  }

  private static int size(PeerMessage message) {
    return FRAME_LENGTH_BYTES + PeerFrameCodec.encode(new PeerFrame.Message(message)).length;
  }

  private static int centre(HostId gateway, int centres) {
    return Integer.parseInt(gateway.value().substring(1)) % centres;
  }

  private static Place place(int centre) {
    return new Place(new RegionId("r" + centre / 2), new DataCentreId("d" + centre));
  }

  private static HostAddress address(int number) {
    return new HostAddress("10.0." + number / 250 + "." + number % 250, 7600);
  }

  private static Announcement endpoint(int number, int centres) {
    return new Announcement(
        new EndpointId("i-%010x".formatted(number)),
        1,
        place(number % centres),
        address(number),
        Set.of("model"),
        new VersionId("v1"),
        64,
        TIME_TO_LIVE,
        false);
  }
}
