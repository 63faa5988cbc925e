package org.cuminwell.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.PromptPart;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the selection of engines by their cached prefixes and prefill load. */
final class EngineRouterTest {

  private static final Place LOCAL = place("coast");
  private static final Place REMOTE = place("inland");
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration IDLE_EVENT_GAP = Duration.ofMillis(30);
  private static final Duration TARGET = Duration.ofSeconds(1);
  private static final int SLOTS = 128;

  private final EndpointTable endpoints = new EndpointTable();
  private Instant now = START;

  @ParameterizedTest(name = "{0} gateways, {1} engines")
  @CsvSource({"2, 3", "6, 3", "13, 19"})
  void allGatewaysSendAPrefixToTheSameEngine(int gateways, int engines) {
    announce(engines, LOCAL);
    Set<EndpointId> used = new HashSet<>();
    for (int gateway = 0; gateway < gateways; gateway++) {
      used.add(engine(router(gateway).choose(all(), query("shared", 0, 1), now)));
    }
    assertThat(used).hasSize(1);
  }

  @ParameterizedTest(name = "{0} prefixes over {1} engines")
  @CsvSource({"60, 3", "400, 19"})
  void prefixesSpreadOverTheEngines(int prefixes, int engines) {
    announce(engines, LOCAL);
    EngineRouter router = router(1);
    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < prefixes; i++) {
      used.add(engine(router.choose(all(), query("shared" + i, 0, 1), now)));
    }
    assertThat(used).hasSize(engines);
  }

  @ParameterizedTest(name = "event gaps of {0} ms, rank {1}: headroom {2}")
  @CsvSource({
    "30,  0, true", "100, 0, true", "150, 0, true", "400, 0, false",
    "30,  1, true", "100, 1, true", "180, 1, false", "400, 1, false",
    "100, 3, false",
  })
  void eventGapsShowWhetherAnEngineHasHeadroom(int gapMillis, int rank, boolean headroom) {
    announce(1, LOCAL);
    EngineRouter router = routerWithObservedGaps(gapMillis);
    EngineChoice choice = router.choose(all(), query("shared", rank, 1), now);
    assertThat(choice instanceof EngineChoice.Chosen).isEqualTo(headroom);
  }

  @ParameterizedTest(name = "request that must run, event gaps of {0} ms")
  @CsvSource({"400", "2000"})
  void requestThatMustRunIsNeverRefused(int gapMillis) {
    announce(1, LOCAL);
    EngineRouter router = routerWithObservedGaps(gapMillis);
    var query = new EngineRouter.Query(prompt("shared"), 0, Set.of(), true, TARGET, 1);
    assertThat(router.choose(all(), query, now)).isInstanceOf(EngineChoice.Chosen.class);
  }

  @ParameterizedTest(
      name =
          "{0} prompts of 9,000 tokens in a second: some to another region {1}, some refused {2}")
  @CsvSource({"2, false, false", "30, true, false", "80, true, true"})
  void promptsGoToAnotherRegionBeforeTheyAreRefused(int prompts, boolean remote, boolean refused) {
    announce(2, LOCAL);
    announce(2, REMOTE);
    EngineRouter router = router(1);
    List<EngineChoice> choices = new ArrayList<>();
    for (int i = 0; i < prompts; i++) {
      now = START.plusMillis(1_000L * i / prompts);
      EngineChoice choice = router.choose(all(), query("p" + i, 0, 1), now);
      choices.add(choice);
      if (choice instanceof EngineChoice.Chosen chosen) {
        EndpointId id = chosen.engine().announcement().endpoint();
        router.recordSent(id, prompt("p" + i), chosen.prefillTokens(), now);
        router.releasePendingPrefill(id, chosen.prefillTokens());
      }
    }
    assertThat(choices.stream().anyMatch(c -> isAt(c, REMOTE))).isEqualTo(remote);
    assertThat(choices.stream().anyMatch(EngineChoice.AllBusy.class::isInstance))
        .isEqualTo(refused);
  }

  @ParameterizedTest(name = "responses started after {0} ms: headroom {1}")
  @CsvSource({"50, true", "500, true", "1500, false"})
  void engineWhoseResponsesStartTooLateGetsNoMore(int millis, boolean headroom) {
    announce(1, LOCAL);
    EngineRouter router = router(1);
    EndpointId only = all().getFirst().announcement().endpoint();
    for (int i = 0; i < 30; i++) {
      router.recordPrefillCompleted(only, 0, Duration.ofMillis(millis), now);
    }
    assertThat(router.choose(all(), sharedQuery(), now) instanceof EngineChoice.Chosen)
        .isEqualTo(headroom);
    now = now.plusSeconds(3);
    assertThat(router.choose(all(), sharedQuery(), now)).isInstanceOf(EngineChoice.Chosen.class);
  }

  @ParameterizedTest(name = "engine restarted {0}: {1} tokens to prefill")
  @CsvSource({"true, 9000", "false, 1000"})
  void restartedEngineHasAnEmptyCache(boolean restarted, long prefillTokens) {
    announce(1, LOCAL);
    EngineRouter router = router(1);
    EngineChoice.Chosen first = (EngineChoice.Chosen) router.choose(all(), sharedQuery(), now);
    EndpointId id = first.engine().announcement().endpoint();
    router.recordSent(id, sharedQuery().prompt(), first.prefillTokens(), now);
    router.releasePendingPrefill(id, first.prefillTokens());
    if (restarted) {
      announce("e0", 2, LOCAL);
      router.choose(all(), query("other", 0, 1), now);
    }
    now = now.plusSeconds(1);
    assertThat(router.prefillTokens(all().getFirst(), sharedQuery().prompt(), now))
        .isEqualTo(prefillTokens);
  }

  private static EngineRouter.Query sharedQuery() {
    return query("shared", 0, 1);
  }

  private static EngineRouter.Query query(String shared, int rank, int gateways) {
    return new EngineRouter.Query(prompt(shared), rank, Set.of(), false, TARGET, gateways);
  }

  private static Prompt prompt(String shared) {
    return new Prompt(List.of(new PromptPart(shared, 8_000), new PromptPart("own", 1_000)));
  }

  private static EngineRouter router(long seed) {
    return new EngineRouter(LOCAL, new Router(LOCAL, new SplittableRandom(seed)));
  }

  /**
   * Returns a router that observed one short event gap of the only engine, and then gaps of the
   * given length.
   */
  private EngineRouter routerWithObservedGaps(int millis) {
    EngineRouter router = router(1);
    EndpointId only = all().getFirst().announcement().endpoint();
    router.recordEventGap(only, IDLE_EVENT_GAP, now);
    for (int i = 0; i < 100; i++) {
      router.recordEventGap(only, Duration.ofMillis(millis), now);
    }
    return router;
  }

  private static EndpointId engine(EngineChoice choice) {
    return ((EngineChoice.Chosen) choice).engine().announcement().endpoint();
  }

  private static boolean isAt(EngineChoice choice, Place place) {
    return choice instanceof EngineChoice.Chosen chosen
        && chosen.engine().announcement().place().equals(place);
  }

  private List<EndpointTable.Entry> all() {
    return endpoints.findServing("model", now);
  }

  private void announce(int count, Place place) {
    int before = endpoints.all().size();
    IntStream.range(before, before + count).forEach(i -> announce("e" + i, 1, place));
  }

  private void announce(String id, long incarnation, Place place) {
    endpoints.recordAnnouncement(
        new Announcement(
            new EndpointId(id),
            incarnation,
            place,
            new HostAddress("10.0.1." + id.substring(1), 80),
            Set.of("model"),
            new VersionId("v1"),
            SLOTS,
            Duration.ofSeconds(10),
            false),
        now);
  }

  private static Place place(String region) {
    return new Place(new RegionId(region), new DataCentreId(region + "-a"));
  }
}
