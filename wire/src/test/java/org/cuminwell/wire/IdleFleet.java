package org.cuminwell.wire;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.RequestAge;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Runs a {@link CoreFleet} that nobody calls, and counts what its processes tell each other.
 *
 * <p>Endpoints announce themselves to control hosts. Not thread safe.
 */
final class IdleFleet implements CoreFleet.Observer {

  static final Duration TIME_TO_LIVE = Duration.ofSeconds(10);

  private static final int STEPS_A_SECOND = 20;
  private static final int STEPS_AN_ANNOUNCEMENT = 24;
  private static final int FRAME_LENGTH_BYTES = 4;

  private final List<Announcement> endpoints;
  private final IdentityHashMap<PeerMessage, Integer> sizes = new IdentityHashMap<>();
  private Map<String, Traffic> traffic = new TreeMap<>();
  private final CoreFleet fleet;
  private long step;

  /** Counts messages and their bytes. */
  record Traffic(long messages, long bytes) {

    Traffic plus(Traffic more) {
      return new Traffic(messages + more.messages, bytes + more.bytes);
    }
  }

  IdleFleet(int gatewayCount, int centres, int controlCount, int endpointCount) {
    fleet = new CoreFleet(gatewayCount, centres, controlCount, this);
    endpoints = IntStream.range(0, endpointCount).mapToObj(i -> endpoint(i, centres)).toList();
  }

  /** Lets the time go by, and returns what was sent meanwhile, by subject and direction. */
  Map<String, Traffic> run(int seconds) {
    traffic = new TreeMap<>();
    for (int i = 0; i < seconds * STEPS_A_SECOND; i++) {
      step++;
      fleet.step();
      announce();
      sizes.clear();
    }
    return traffic;
  }

  @Override
  public void onSent(HostId from, HostId to, PeerMessage message) {
    int bytes = sizes.computeIfAbsent(message, IdleFleet::size);
    String subject = message.getClass().getSimpleName();
    traffic.merge(
        role(from) + " to " + role(to) + ": " + subject, new Traffic(1, bytes), Traffic::plus);
  }

  private void announce() {
    List<HostId> controls = List.copyOf(fleet.controls.keySet());
    for (int i = 0; i < endpoints.size(); i++) {
      if ((step + i) % STEPS_AN_ANNOUNCEMENT == 0) {
        HostId control = controls.get(i % controls.size());
        fleet.handle(
            control,
            new ControlEvent.EndpointAnnounced(endpoints.get(i), new RequestAge(fleet.now())));
      }
    }
  }

  private static String role(HostId id) {
    return id.value().startsWith("c") ? "control" : "gateway";
  }

  private static int size(PeerMessage message) {
    return FRAME_LENGTH_BYTES + PeerFrameCodec.encode(new PeerFrame.Message(message)).length;
  }

  private static Announcement endpoint(int number, int centres) {
    return new Announcement(
        new EndpointId("i-%010x".formatted(number)),
        1,
        CoreFleet.place(number % centres),
        CoreFleet.address(number),
        Set.of("model"),
        new VersionId("v1"),
        64,
        TIME_TO_LIVE,
        false);
  }
}
