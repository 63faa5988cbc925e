package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.PromptPart;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;

/**
 * Lets the routers of many gateways of one region choose among the same engines.
 *
 * <p>An engine reads one prompt after the other, remembers the shared parts for some seconds, and
 * pauses between the events of its answers while it reads. Not thread safe.
 */
final class EngineFleet {

  static final int READ_RATE = 40_000;
  static final int SHARED_TOKENS = 6_300;
  static final int OWN_TOKENS = 2_890;
  static final Duration TARGET = Duration.ofSeconds(1);

  private static final Place HERE = new Place(new RegionId("r"), new DataCentreId("r-a"));
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration KEPT = Duration.ofSeconds(8);
  private static final Duration CALM = Duration.ofMillis(30);
  private static final Duration GENERATES = Duration.ofMillis(600);
  private static final RouteQuery NO_PREFIX = new RouteQuery(OptionalLong.empty(), Set.of());
  private static final double MAX_SHOWN_USE = 0.97;

  private final SplittableRandom random;
  private final EndpointTable endpoints = new EndpointTable();
  private final List<Gateway> gateways = new ArrayList<>();
  private final Map<EndpointId, Engine> engines = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingInt(Event::number));
  private int numbered;

  private int asked;
  private int refused;
  private int late;
  private long sharedRead;

  /** Counts what became of the requests. */
  record Outcome(int asked, int refused, int late, long sharedRead) {

    /** Returns the part that began within the target. */
    double inTimePart() {
      return 1 - (double) (refused + late) / asked;
    }

    /** Returns how often the shared part was read, for each request. */
    double sharedReadPart() {
      return (double) sharedRead / SHARED_TOKENS / asked;
    }
  }

  private record Gateway(Router router, EngineRouter engines) {}

  private record Event(Instant at, int number, Runnable action) {}

  private static final class Engine {
    final Map<String, Instant> kept = new HashMap<>();
    final FadingSum read = new FadingSum(1);
    Instant freeAt = START;
    int running;
  }

  EngineFleet(int hosts, int engineCount, int slots, long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < hosts; i++) {
      Router router = new Router(HERE, random.split());
      gateways.add(new Gateway(router, new EngineRouter(HERE, router)));
    }
    for (int i = 0; i < engineCount; i++) {
      Announcement announcement = announcement(i, slots);
      endpoints.recordAnnouncement(announcement, START);
      engines.put(announcement.endpoint(), new Engine());
    }
  }

  /**
   * Plays requests that come at random at all gateways, each about one of the things; those of the
   * first {@code warmUp} aren't counted.
   */
  Outcome play(double perSecond, int things, Duration warmUp, Duration length) {
    later(START.plus(warmUp), this::forgetCounts);
    for (double at = 0;
        at < length.toNanos() / 1e9;
        at -= Math.log(random.nextDouble()) / perSecond) {
      Gateway gateway = gateways.get(random.nextInt(gateways.size()));
      Prompt prompt = prompt("t" + random.nextInt(things));
      Instant now = START.plusNanos((long) (at * 1e9));
      later(now, () -> ask(gateway, prompt, now));
    }
    while (!events.isEmpty()) {
      events.remove().action().run();
    }
    return new Outcome(asked, refused, late, sharedRead);
  }

  private void forgetCounts() {
    asked = 0;
    refused = 0;
    late = 0;
    sharedRead = 0;
  }

  private void ask(Gateway gateway, Prompt prompt, Instant now) {
    asked++;
    EngineRouter.Query query =
        new EngineRouter.Query(prompt, 1, Set.of(), false, TARGET, gateways.size());
    List<Entry> all = endpoints.findServing("model", START);
    switch (gateway.engines().choose(all, query, now)) {
      case EngineChoice.Chosen c -> send(gateway, c, prompt, now);
      case EngineChoice.AllBusy _, EngineChoice.NoneThere _ -> refused++;
    }
  }

  private void send(Gateway gateway, EngineChoice.Chosen chosen, Prompt prompt, Instant now) {
    EndpointId id = chosen.engine().announcement().endpoint();
    gateway.router().recordSent(id, NO_PREFIX, now);
    gateway.engines().sent(id, prompt, chosen.toRead(), now);
    Engine engine = engine(id);
    if (engine.running >= chosen.engine().announcement().capacity()) {
      refused++;
      gateway.engines().read(id, chosen.toRead());
      gateway.router().recordEnded(id, Duration.ZERO, false, now);
      return;
    }
    engine.running++;
    Instant readAt = read(engine, prompt, now);
    Duration took = Duration.between(now, readAt);
    late += took.compareTo(TARGET) > 0 ? 1 : 0;
    later(readAt, () -> began(gateway, id, chosen.toRead(), took, readAt));
    Instant endAt = readAt.plus(GENERATES);
    later(endAt, () -> ended(gateway, id, Duration.between(now, endAt), endAt));
  }

  /** Has the engine read what it has not kept, and returns when it has done so. */
  private Instant read(Engine engine, Prompt prompt, Instant now) {
    String shared = prompt.parts().getFirst().id();
    Instant used = engine.kept.put(shared, now);
    boolean isKept = used != null && now.isBefore(used.plus(KEPT));
    long tokens = isKept ? OWN_TOKENS : SHARED_TOKENS + OWN_TOKENS;
    sharedRead += isKept ? 0 : SHARED_TOKENS;
    engine.read.add((double) tokens, now);
    Instant from = engine.freeAt.isAfter(now) ? engine.freeAt : now;
    engine.freeAt = from.plusNanos(tokens * 1_000_000_000L / READ_RATE);
    return engine.freeAt;
  }

  private void began(Gateway gateway, EndpointId id, long toRead, Duration took, Instant now) {
    gateway.engines().began(id, toRead, took, now);
    for (int i = 1; i <= 3; i++) {
      Instant at = now.plusMillis(200L * i);
      later(at, () -> gateway.engines().observe(id, pause(engine(id), at), at));
    }
  }

  private static Duration pause(Engine engine, Instant now) {
    double use = Math.min(MAX_SHOWN_USE, engine.read.at(now) / READ_RATE);
    return Duration.ofNanos((long) (CALM.toNanos() / (1 - use)));
  }

  private void ended(Gateway gateway, EndpointId id, Duration took, Instant now) {
    engine(id).running--;
    gateway.router().recordEnded(id, took, false, now);
  }

  private void later(Instant at, Runnable action) {
    events.add(new Event(at, numbered++, action));
  }

  private Engine engine(EndpointId id) {
    return Objects.requireNonNull(engines.get(id));
  }

  private static Prompt prompt(String thing) {
    return new Prompt(
        List.of(new PromptPart(thing, SHARED_TOKENS), new PromptPart("own", OWN_TOKENS)));
  }

  private static Announcement announcement(int number, int slots) {
    return new Announcement(
        new EndpointId("e" + number),
        1,
        HERE,
        new HostAddress("10.0.1." + number, 80),
        Set.of("model"),
        new VersionId("v1"),
        slots,
        Duration.ofSeconds(10),
        false);
  }
}
