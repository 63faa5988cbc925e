package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.cuminwell.wire.IdleFleet.Traffic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds what processes may tell each other while nobody calls. */
final class IdleFleetTest {

  /** What a daemon may spend for control, by CONTRIBUTING.md. */
  private static final long BYTES_A_SECOND = 9_000;

  private static final int SETTLING_SECONDS = 4;
  private static final int SECONDS = 3;

  @ParameterizedTest(name = "{0} gateways in {1} data centres, {2} control hosts, {3} endpoints")
  @CsvSource({"2, 2, 3, 50", "14, 2, 5, 50", "14, 2, 5, 1000"})
  void anIdleGatewaysControlTrafficStaysInItsBudgetWhateverTheEndpoints(
      int gateways, int centres, int controls, int endpoints) {
    IdleFleet fleet = new IdleFleet(gateways, centres, controls, endpoints);
    fleet.run(SETTLING_SECONDS);
    Map<String, Traffic> traffic = fleet.run(SECONDS);

    assertThat(bytesAtGateways(traffic) / gateways / SECONDS).isLessThan(BYTES_A_SECOND);
  }

  /** Returns the bytes at all gateways; those between two gateways count at both ends. */
  private static long bytesAtGateways(Map<String, Traffic> traffic) {
    return traffic.entrySet().stream()
        .mapToLong(entry -> entry.getValue().bytes() * gatewayEnds(entry.getKey()))
        .sum();
  }

  private static long gatewayEnds(String subject) {
    return subject.startsWith("gateway to gateway") ? 2 : subject.contains("gateway") ? 1 : 0;
  }
}
