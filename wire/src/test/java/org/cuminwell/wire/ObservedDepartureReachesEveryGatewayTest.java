package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that an endpoint whose departure only a gateway has seen gets no request of the others,
 * although it is cut off from the control hosts and can't tell them.
 */
final class ObservedDepartureReachesEveryGatewayTest {

  private static final int CONTROL_HOSTS = 3;
  private static final int STEPS_TO_CONNECT = 100;
  private static final int STEPS_TO_TELL = 20;
  private static final EndpointIncarnation ENDPOINT =
      new EndpointIncarnation(new EndpointId("e1"), 7);

  private final Set<HostId> told = new HashSet<>();
  private int messages;

  @ParameterizedTest(name = "{0} gateways in {1} data centres, {2} have seen it, control {3}")
  @CsvSource({"6, 3, 1, true", "6, 3, 6, true", "9, 1, 1, true", "6, 3, 1, false"})
  void everyGatewayInReachIsTold(int gateways, int centres, int observers, boolean control) {
    CoreFleet fleet = new CoreFleet(gateways, centres, CONTROL_HOSTS, new Counter());
    run(fleet, STEPS_TO_CONNECT);
    if (!control) {
      List.copyOf(fleet.controls.keySet()).forEach(fleet::remove);
    }
    for (int i = 0; i < observers; i++) {
      fleet.handle(gateway(i), new GatewayEvent.DepartureObserved(ENDPOINT));
    }
    run(fleet, STEPS_TO_TELL);

    int inReach = control ? gateways : gateways / centres;
    assertThat(told)
        .containsAll(
            IntStream.range(0, gateways)
                .filter(i -> i >= observers && (control || i % centres == 0))
                .mapToObj(ObservedDepartureReachesEveryGatewayTest::gateway)
                .toList());
    assertThat(messages)
        .isLessThanOrEqualTo(2 * (gateways + CONTROL_HOSTS) * (CONTROL_HOSTS + inReach));
  }

  private static void run(CoreFleet fleet, int steps) {
    for (int i = 0; i < steps; i++) {
      fleet.step();
    }
  }

  private static HostId gateway(int number) {
    return new HostId("g" + number);
  }

  /** Counts the messages that tell of the departure. */
  private final class Counter implements CoreFleet.Observer {
    @Override
    public void onSent(HostId from, HostId to, PeerMessage message) {
      if (message instanceof PeerMessage.Membership m
          && m.message() instanceof MembershipMessage.Update update
          && update.items().stream().anyMatch(MembershipMessage.Item.Leaving.class::isInstance)) {
        told.add(to);
        messages++;
      }
    }
  }
}
