package org.cuminwell.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.membership.LoadReport;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RouterTest {

  private static final Instant T0 = Instant.ofEpochSecond(1_000);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final int DRAWS = 200;

  /**
   * Describes the load of the endpoints, what the router has recorded, and which endpoints it may
   * then select over many seeds.
   */
  record Case(
      String name, List<Entry> entries, Steps preparation, RouteQuery query, Set<String> expected) {
    @Override
    public String toString() {
      return name;
    }
  }

  interface Steps {
    void run(Router router);
  }

  static Stream<Case> cases() {
    RouteQuery plain = query(Set.of());
    return Stream.of(
        new Case("none", List.of(), r -> {}, plain, Set.of()),
        new Case("one", List.of(local("a", 0)), r -> {}, plain, Set.of("a")),
        new Case(
            "the idle one of two",
            List.of(local("a", 0), local("b", 8)),
            r -> {},
            plain,
            Set.of("a")),
        new Case(
            "never the busiest of three",
            List.of(local("a", 1), local("b", 3), local("c", 9)),
            r -> {},
            plain,
            Set.of("a", "b")),
        new Case(
            "requests sent since the report count",
            List.of(local("a", 0), local("b", 2)),
            r -> {
              choose(r, List.of(local("a", 0), local("b", 2)), T0);
              repeat(4, () -> r.recordSent(new EndpointId("a"), plain, T0));
            },
            plain,
            Set.of("b")),
        new Case(
            "an attempted endpoint is left out",
            List.of(local("a", 0), local("b", 8)),
            r -> {},
            query(Set.of("a")),
            Set.of("b")),
        new Case(
            "an attempted endpoint if it is the only one",
            List.of(local("a", 0)),
            r -> {},
            query(Set.of("a")),
            Set.of("a")),
        new Case(
            "a failing endpoint is ejected",
            List.of(local("a", 0), local("b", 8)),
            r -> recordFailures(r, "a", 3),
            plain,
            Set.of("b")),
        new Case(
            "not all failing endpoints are ejected",
            List.of(local("a", 0), local("b", 0)),
            r -> {
              recordFailures(r, "a", 9);
              recordFailures(r, "b", 3);
            },
            plain,
            Set.of("b")),
        new Case(
            "failures decay",
            List.of(local("a", 0), local("b", 8)),
            r ->
                repeat(
                    3, () -> r.recordEnded(new EndpointId("a"), SECOND, true, T0.minusSeconds(60))),
            plain,
            Set.of("a")),
        new Case(
            "the local region while it has free slots",
            List.of(local("a", 7), remote("b", 0)),
            r -> {},
            plain,
            Set.of("a")),
        new Case(
            "the local region while the wait is short",
            List.of(local("a", 8), remote("b", 0)),
            r -> {},
            plain,
            Set.of("a")),
        new Case(
            "another region when the local wait is long",
            List.of(local("a", 16), remote("b", 0)),
            r -> {},
            plain,
            Set.of("b")),
        new Case(
            "the local region when the wait is as long elsewhere",
            List.of(local("a", 16), remote("b", 16)),
            r -> {},
            plain,
            Set.of("a")),
        new Case(
            "another region when the local one has no endpoint",
            List.of(remote("b", 20)),
            r -> {},
            plain,
            Set.of("b")),
        new Case(
            "the endpoint with a warm cache",
            List.of(local("a", 1), local("b", 0), local("c", 0)),
            r -> r.recordSent(new EndpointId("a"), cachedQuery(), T0.minusSeconds(9)),
            cachedQuery(),
            Set.of("a")),
        new Case(
            "not the warm cache of a busy endpoint",
            List.of(local("a", 7), local("b", 0)),
            r -> r.recordSent(new EndpointId("a"), cachedQuery(), T0.minusSeconds(9)),
            cachedQuery(),
            Set.of("b")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void selectsOneOf(Case c) {
    Set<String> chosen = new java.util.TreeSet<>();
    for (int seed = 0; seed < DRAWS; seed++) {
      Router router = new Router(place("coast"), new SplittableRandom(seed));
      c.preparation().run(router);
      router
          .choose(c.entries(), c.query(), T0)
          .ifPresent(entry -> chosen.add(entry.announcement().endpoint().value()));
    }
    assertThat(chosen).isEqualTo(c.expected());
  }

  @org.junit.jupiter.api.Test
  void gatewaysWithTheSameOldReportSpreadTheirRequests() {
    TreeMap<String, Integer> counts = new TreeMap<>();
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      entries.add(local("e" + i, i == 0 ? 0 : 1));
    }
    for (int gateway = 0; gateway < 64; gateway++) {
      Router router = new Router(place("coast"), new SplittableRandom(gateway));
      String id = choose(router, entries, T0).orElseThrow().announcement().endpoint().value();
      counts.merge(id, 1, Integer::sum);
    }
    // The idle endpoint is in a quarter of the draws of two out of eight.
    assertThat(counts.getOrDefault("e0", 0)).isLessThan(64 / 2);
  }

  private static Optional<Entry> choose(Router router, List<Entry> entries, Instant now) {
    return router.choose(entries, query(Set.of()), now);
  }

  private static void recordFailures(Router router, String endpoint, int times) {
    repeat(times, () -> router.recordEnded(new EndpointId(endpoint), SECOND, true, T0));
  }

  private static void repeat(int count, Runnable step) {
    for (int i = 0; i < count; i++) {
      step.run();
    }
  }

  private static RouteQuery query(Set<String> attempted) {
    return new RouteQuery(
        OptionalLong.empty(),
        attempted.stream().map(EndpointId::new).collect(java.util.stream.Collectors.toSet()));
  }

  private static RouteQuery cachedQuery() {
    return new RouteQuery(OptionalLong.of(7), Set.of());
  }

  static Entry local(String id, int queued) {
    return entry(id, "coast", queued, 1, T0);
  }

  private static Entry remote(String id, int queued) {
    return entry(id, "basin", queued, 1, T0);
  }

  /** Returns an endpoint with eight slots and {@code requests} running or queued requests. */
  static Entry entry(String id, String region, int requests, long sequence, Instant receivedAt) {
    EndpointId endpoint = new EndpointId(id);
    Announcement announcement =
        new Announcement(
            endpoint,
            1,
            place(region),
            new HostAddress("127.0.0.1", 1),
            Set.of("m"),
            new VersionId("v1"),
            8,
            Duration.ofDays(1),
            false);
    LoadReport load =
        new LoadReport(endpoint, 1, sequence, Math.min(requests, 8), Math.max(0, requests - 8));
    return new Entry(announcement, receivedAt, false, Optional.of(load));
  }

  static Place place(String region) {
    return new Place(new RegionId(region), new DataCentreId(region + "-1"));
  }
}
