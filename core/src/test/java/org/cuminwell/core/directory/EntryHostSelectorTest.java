package org.cuminwell.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.RouteId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which entry hosts are selected for a caller while hosts are stopping or unreachable. */
final class EntryHostSelectorTest {

  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);

  @ParameterizedTest(name = "caller in {0}, hosts {1}, bound to {2}: {3}")
  @CsvSource({
    "a, 'a b c',   '',    a",
    "a, 'a! b c',  '',    a!",
    "a, 'b c',     '',    'b c'",
    "a, 'b c',     'a b', b",
    "a, 'b! c',    'a b', c",
    "a, 'b c',     a,     'b c'",
    "c, 'a b c!',  'a b', c!",
    "a, '',        '',    ''",
  })
  void callersStayInTheirRegionThenInTheRegionsOfRoutes(
      String region, String hosts, String bound, String expected) {
    List<HostDescription> selected =
        EntryHostSelector.selectHosts(place(region), hosts(hosts), forwarding(bound));
    assertThat(selected.stream().map(EntryHostSelectorTest::name).collect(Collectors.joining(" ")))
        .isEqualTo(expected);
  }

  private static List<HostDescription> hosts(String text) {
    return words(text).stream().map(EntryHostSelectorTest::host).toList();
  }

  /** Parses a host by its region; a trailing "!" marks it as stopping. */
  private static HostDescription host(String text) {
    String region = text.substring(0, 1);
    boolean stopping = text.endsWith("!");
    return new HostDescription(
        new HostId("host-" + region), place(region), ADDRESS, ADDRESS, ADDRESS, 0, stopping);
  }

  private static String name(HostDescription host) {
    return host.place().region().value() + (host.stopping() ? "!" : "");
  }

  private static Forwarding forwarding(String bound) {
    RouteId id = new RouteId("r");
    ForwardRoute route =
        new ForwardRoute(
            id,
            "host",
            "/",
            new RetrySemantics.AtMostOnce(),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            0,
            List.of(new ForwardRoute.WeightedService("s", 1)),
            1,
            true,
            false,
            words(bound).stream().map(RegionId::new).collect(Collectors.toSet()));
    return new Forwarding(Map.of(id, route), Map.of(), CallerLimits.DEFAULT, Set.of());
  }

  private static List<String> words(String text) {
    return text.isEmpty() ? List.of() : Arrays.asList(text.split(" ", -1));
  }

  private static Place place(String region) {
    return new Place(new RegionId(region), new DataCentreId(region));
  }
}
