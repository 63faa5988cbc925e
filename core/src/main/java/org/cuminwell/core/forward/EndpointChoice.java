package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.routing.EngineChoice;
import org.cuminwell.core.routing.EngineRouter;
import org.cuminwell.core.routing.Router;
import org.jspecify.annotations.Nullable;

/**
 * Chooses where a forwarded request goes: the endpoint, and the gateway that passes it on where the
 * endpoint stands in another region.
 *
 * <p>Endpoints of evacuated data centres and regions that the request may not enter are never
 * chosen. A cold endpoint is chosen only if there is no warm one, and no more often than this
 * gateway's part of what it bears. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class EndpointChoice {

  private static final double NANOS_PER_SECOND = 1e9;

  private final Place here;
  private final EndpointTable endpoints;
  private final HostDirectory directory;
  private final Router router;
  private final EngineRouter engines;
  private final SplittableRandom random;
  private final ForwardVersions versions;
  private final Map<EndpointId, Instant> coldSentAt = new HashMap<>();
  private final Map<DataCentreId, Instant> takenBackAt = new HashMap<>();
  private Set<DataCentreId> evacuated = Set.of();

  /**
   * Names an endpoint and the way to it. Immutable and thread safe.
   *
   * @param heardAt when the endpoint was last heard
   * @param outOf how many endpoints could have been chosen
   * @param toRead the tokens of the prompt that the endpoint is expected to read
   */
  record Target(
      Announcement announcement,
      Optional<HostAddress> relay,
      Instant heardAt,
      int outOf,
      long toRead) {}

  /** Says what becomes of a request that is to be sent. Immutable and thread safe. */
  sealed interface Decision {
    /** The request goes to the target. */
    record Send(Target target) implements Decision {}

    /** Every endpoint has as much to do as it can bear. */
    record Busy(Duration retryAfter) implements Decision {}

    /** No endpoint can take the request. */
    record Nowhere() implements Decision {}
  }

  EndpointChoice(
      Place here,
      EndpointTable endpoints,
      HostDirectory directory,
      ForwardVersions versions,
      SplittableRandom random) {
    this.versions = versions;
    this.here = here;
    this.endpoints = endpoints;
    this.directory = directory;
    this.router = new Router(here, random);
    this.engines = new EngineRouter(here, router);
    this.random = random;
  }

  /** Takes on the evacuations in force. */
  void configure(Forwarding forwarding, Instant now) {
    if (!forwarding.evacuated().equals(evacuated)) {
      evacuated.stream()
          .filter(id -> !forwarding.evacuated().contains(id))
          .forEach(id -> takenBackAt.put(id, now));
      evacuated = forwarding.evacuated();
    }
  }

  /** Returns where the request goes next. */
  Decision choose(ForwardedCall call, Forwarding forwarding, Instant now) {
    Residency residency = call.residency();
    String service = call.service();
    Map<RegionId, List<HostDescription>> relays = relays();
    List<Entry> all =
        endpoints.findServing(service, now).stream()
            .filter(entry -> residency.allows(regionOf(entry)))
            .filter(entry -> !evacuated.contains(dataCentreOf(entry)))
            .filter(entry -> isNear(entry) || relays.containsKey(regionOf(entry)))
            .toList();
    List<Entry> open = versions.choose(call, all, entry -> isCold(entry, now), now);
    List<Entry> warm = open.stream().filter(entry -> !isCold(entry, now)).toList();
    List<Entry> candidates =
        warm.isEmpty()
            ? open.stream().filter(bearsAnother(forwarding.services().get(service), now)).toList()
            : warm;
    if (call.isRead()) {
      return chooseEngine(call, candidates, relays, now);
    }
    return router
        .choose(candidates, call.query(), now)
        .<Decision>map(entry -> send(entry, 0, candidates.size(), relays, now))
        .orElseGet(Decision.Nowhere::new);
  }

  private Decision chooseEngine(
      ForwardedCall call,
      List<Entry> candidates,
      Map<RegionId, List<HostDescription>> relays,
      Instant now) {
    EngineRouter.Query query =
        new EngineRouter.Query(
            call.head().prompt(),
            call.route().rank(),
            call.tried(),
            call.isAnswerPassed(),
            call.route().latencyTarget(),
            relays.getOrDefault(here.region(), List.of()).size());
    return switch (engines.choose(candidates, query, now)) {
      case EngineChoice.Chosen c -> send(c.engine(), c.toRead(), candidates.size(), relays, now);
      case EngineChoice.AllBusy c -> new Decision.Busy(c.retryAfter());
      case EngineChoice.NoneThere c -> new Decision.Nowhere();
    };
  }

  private Decision send(
      Entry entry,
      long toRead,
      int outOf,
      Map<RegionId, List<HostDescription>> relays,
      Instant now) {
    if (isCold(entry, now)) {
      coldSentAt.put(entry.announcement().endpoint(), now);
    }
    return new Decision.Send(
        new Target(
            entry.announcement(),
            relayTo(regionOf(entry), relays),
            entry.receivedAt(),
            outOf,
            toRead));
  }

  /** Counts a request that was sent. */
  void sent(ForwardedCall call, Target target, Instant now) {
    EndpointId endpoint = target.announcement().endpoint();
    router.recordSent(endpoint, call.query(), now);
    if (call.isRead()) {
      engines.sent(endpoint, call.head().prompt(), target.toRead(), now);
      call.reads(target.toRead());
    }
  }

  /** Takes in that an engine has read the prompt of a request. */
  void began(ForwardedCall call, Instant now) {
    if (call.isRead() && call.isAttempting()) {
      EndpointId engine = call.endpoint().orElseThrow().endpoint();
      engines.began(engine, call.takeToRead(), call.attemptRunsFor(now), now);
    }
  }

  /** Takes in that an engine need not read the prompt of a request any more. */
  void read(ForwardedCall call) {
    call.endpoint().ifPresent(target -> engines.read(target.endpoint(), call.takeToRead()));
  }

  /** Takes in the mean time between some events of an answer. */
  void eventsCame(ForwardedCall call, Duration pause, Instant now) {
    if (call.isRead()) {
      call.endpoint().ifPresent(target -> engines.observe(target.endpoint(), pause, now));
    }
  }

  /** Counts an attempt that has ended; {@code blamed} says whether its endpoint is at fault. */
  void ended(Announcement target, Duration took, boolean blamed, Instant now) {
    router.recordEnded(target.endpoint(), took, blamed, now);
  }

  /** Forgets what is not needed any more. */
  void tick(Instant now) {
    router.evictIdle(now);
    engines.keepOnly(endpoints.ids());
    coldSentAt.keySet().removeIf(id -> endpoints.find(id).isEmpty());
  }

  /** An endpoint taken back is cold until it has announced itself since. */
  boolean isCold(Entry entry, Instant now) {
    Instant backAt = takenBackAt.get(dataCentreOf(entry));
    return entry.isInSlowStart(now) || (backAt != null && !entry.receivedAt().isAfter(backAt));
  }

  /** Spreads what a cold endpoint bears evenly over all gateways. */
  private Predicate<Entry> bearsAnother(@Nullable ForwardService service, Instant now) {
    if (service == null || service.slowStartRequestsPerSecond() <= 0) {
      return _ -> true;
    }
    double gateways = Math.max(1, directory.all().size());
    Duration gap =
        Duration.ofNanos(
            (long) (NANOS_PER_SECOND * gateways / service.slowStartRequestsPerSecond()));
    return entry -> {
      Instant last = coldSentAt.get(entry.announcement().endpoint());
      return last == null || !now.isBefore(last.plus(gap));
    };
  }

  private Optional<HostAddress> relayTo(
      RegionId region, Map<RegionId, List<HostDescription>> relays) {
    if (region.equals(here.region())) {
      return Optional.empty();
    }
    List<HostDescription> there = relays.getOrDefault(region, List.of());
    return Optional.of(there.get(random.nextInt(there.size())).internalAddress());
  }

  /** Returns the gateways that take requests, by region; none has an empty list. */
  private Map<RegionId, List<HostDescription>> relays() {
    return directory.all().stream()
        .filter(host -> !host.stopping())
        .collect(Collectors.groupingBy(host -> host.place().region()));
  }

  private boolean isNear(Entry entry) {
    return regionOf(entry).equals(here.region());
  }

  private static RegionId regionOf(Entry entry) {
    return entry.announcement().place().region();
  }

  private static DataCentreId dataCentreOf(Entry entry) {
    return entry.announcement().place().dataCentre();
  }
}
