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
import org.cuminwell.core.routing.LoadSharing;
import org.cuminwell.core.routing.Router;
import org.jspecify.annotations.Nullable;

/**
 * Selects the endpoint of a forwarded request, and the gateway that relays it if the endpoint is in
 * another region.
 *
 * <p>Endpoints of evacuated data centres, and of regions that the residency of the request
 * excludes, are never selected. An endpoint in slow start is selected only if there is no other,
 * and no more often than this gateway's share of the request rate that its service allows during
 * slow start. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class EndpointSelector {

  private static final double NANOS_PER_SECOND = 1e9;

  private final Place localPlace;
  private final EndpointTable endpoints;
  private final HostDirectory directory;
  private final Router router;
  private final EngineRouter engineRouter;
  private final SplittableRandom random;
  private final VersionRouter versionRouter;
  private final RegionReachability reachability = new RegionReachability();
  private final Map<EndpointId, Instant> lastSlowStartSendAt = new HashMap<>();
  private final Map<DataCentreId, Instant> evacuationEndedAt = new HashMap<>();
  private Set<DataCentreId> evacuated = Set.of();
  private long groupedChanges = -1;
  private Map<RegionId, List<HostDescription>> relaysByRegion = Map.of();

  /**
   * Names the selected endpoint and the relay to it. Immutable and thread safe.
   *
   * @param relay the gateway that relays the request, if the endpoint is in another region
   * @param lastAnnouncedAt when the endpoint's last announcement was received
   * @param candidateCount the number of endpoints among which it was selected
   * @param prefillTokens the prompt tokens that the engine is expected to prefill
   */
  record Target(
      Announcement announcement,
      Optional<HostAddress> relay,
      Instant lastAnnouncedAt,
      int candidateCount,
      long prefillTokens) {}

  /** Says whether an attempt of a request can be sent, and where. Immutable and thread safe. */
  sealed interface Decision {
    /** Reports that the request is sent to the target. */
    record Send(Target target) implements Decision {}

    /**
     * Reports that no engine has free capacity.
     *
     * @param maySoonBeFree whether the request may wait for an engine
     */
    record Busy(Duration retryAfter, boolean maySoonBeFree) implements Decision {}

    /** Reports that there is no endpoint that the request may be sent to. */
    record NoEndpoint() implements Decision {}
  }

  EndpointSelector(
      Place localPlace,
      EndpointTable endpoints,
      HostDirectory directory,
      VersionRouter versionRouter,
      SplittableRandom random) {
    this.versionRouter = versionRouter;
    this.localPlace = localPlace;
    this.endpoints = endpoints;
    this.directory = directory;
    this.router = new Router(localPlace, random);
    this.engineRouter = new EngineRouter(localPlace, router);
    this.random = random;
  }

  /**
   * Applies the evacuations of the configuration in force, and records when an evacuation has
   * ended.
   */
  void configure(Forwarding forwarding, Instant now) {
    if (!forwarding.evacuated().equals(evacuated)) {
      evacuated.stream()
          .filter(id -> !forwarding.evacuated().contains(id))
          .forEach(id -> evacuationEndedAt.put(id, now));
      evacuated = forwarding.evacuated();
    }
  }

  /** Returns the exchange of loads with the other gateways of the region. */
  LoadSharing loadSharing() {
    return router.loadSharing();
  }

  /** Selects the target of the next attempt of the request. */
  Decision choose(ForwardedCall call, Forwarding forwarding, Instant now) {
    Residency residency = call.residency();
    String service = call.service();
    Map<RegionId, List<HostDescription>> relaysByRegion = relaysByRegion();
    List<Entry> reachable =
        endpoints.findServing(service, now).stream()
            .filter(entry -> residency.allows(regionOf(entry)))
            .filter(entry -> !evacuated.contains(dataCentreOf(entry)))
            .filter(entry -> isInLocalRegion(entry) || relaysByRegion.containsKey(regionOf(entry)))
            .toList();
    List<Entry> reached = reachable.stream().filter(entry -> isReached(entry, now)).toList();
    List<Entry> permitted =
        versionRouter.selectPermitted(
            call, reached.isEmpty() ? reachable : reached, entry -> isInSlowStart(entry, now), now);
    List<Entry> pastSlowStart =
        permitted.stream().filter(entry -> !isInSlowStart(entry, now)).toList();
    List<Entry> candidates =
        pastSlowStart.isEmpty()
            ? permitted.stream()
                .filter(keepsToSlowStartRate(forwarding.services().get(service), now))
                .toList()
            : pastSlowStart;
    if (call.needsPrefill()) {
      return chooseEngine(call, candidates, relaysByRegion, now);
    }
    return router
        .choose(candidates, call.routeQuery(), now)
        .<Decision>map(entry -> decideSend(entry, 0, candidates.size(), relaysByRegion, now))
        .orElseGet(Decision.NoEndpoint::new);
  }

  private Decision chooseEngine(
      ForwardedCall call,
      List<Entry> candidates,
      Map<RegionId, List<HostDescription>> relays,
      Instant now) {
    EngineRouter.Query query =
        new EngineRouter.Query(
            call.request().prompt(),
            call.route().rank(),
            call.attempted(),
            call.isResponsePassed(),
            call.route().latencyTarget(),
            relays.getOrDefault(localPlace.region(), List.of()).size());
    return switch (engineRouter.choose(candidates, query, now)) {
      case EngineChoice.Chosen c ->
          decideSend(c.engine(), c.prefillTokens(), candidates.size(), relays, now);
      case EngineChoice.AllBusy c -> new Decision.Busy(c.retryAfter(), c.ofMany());
      case EngineChoice.NoEngine c -> new Decision.NoEndpoint();
    };
  }

  private Decision decideSend(
      Entry entry,
      long prefillTokens,
      int candidateCount,
      Map<RegionId, List<HostDescription>> relays,
      Instant now) {
    if (isInSlowStart(entry, now)) {
      lastSlowStartSendAt.put(entry.announcement().endpoint(), now);
    }
    return new Decision.Send(
        new Target(
            entry.announcement(),
            selectRelay(regionOf(entry), relays),
            entry.receivedAt(),
            candidateCount,
            prefillTokens));
  }

  /** Records that an attempt of the request was sent to the target. */
  void recordSent(ForwardedCall call, Target target, Instant now) {
    EndpointId endpoint = target.announcement().endpoint();
    if (target.relay().isPresent()) {
      reachability.recordSent(target.announcement().place().region(), now);
    }
    router.recordSent(endpoint, call.routeQuery(), now);
    if (call.needsPrefill()) {
      engineRouter.recordSent(endpoint, call.request().prompt(), target.prefillTokens(), now);
      call.setPrefillTokens(target.prefillTokens());
    }
  }

  /**
   * Records that the engine has prefilled the prompt of the request, since the response has
   * started.
   */
  void recordPrefillCompleted(ForwardedCall call, Instant now) {
    if (call.needsPrefill() && call.isAttempting()) {
      EndpointId engine = call.endpoint().orElseThrow().endpoint();
      engineRouter.recordPrefillCompleted(
          engine, call.consumePrefillTokens(), call.attemptElapsed(now), now);
    }
  }

  /** Subtracts the pending prefill of the request from the load of its engine. */
  void releasePendingPrefill(ForwardedCall call) {
    call.endpoint()
        .ifPresent(
            target ->
                engineRouter.releasePendingPrefill(target.endpoint(), call.consumePrefillTokens()));
  }

  /**
   * Records the mean time between events of the response, from which the load of the engine is
   * estimated.
   */
  void recordEventGap(ForwardedCall call, Duration meanGap, Instant now) {
    if (call.needsPrefill()) {
      call.endpoint()
          .ifPresent(target -> engineRouter.recordEventGap(target.endpoint(), meanGap, now));
    }
  }

  /**
   * Records the end of an attempt; {@code endpointAtFault} says whether its endpoint is at fault.
   */
  void recordAttemptEnded(
      Announcement target, Duration took, boolean endpointAtFault, Instant now) {
    router.recordEnded(target.endpoint(), took, endpointAtFault, now);
  }

  /** Evicts the state of idle and removed endpoints. */
  void evictStale(Instant now) {
    router.evictIdle(now);
    engineRouter.retainEngines(endpoints.ids());
    lastSlowStartSendAt.keySet().removeIf(id -> endpoints.find(id).isEmpty());
  }

  /**
   * Returns whether the endpoint is in slow start. After the evacuation of its data centre has
   * ended, it also counts as such until its next announcement.
   */
  boolean isInSlowStart(Entry entry, Instant now) {
    Instant evacuationEnd = evacuationEndedAt.get(dataCentreOf(entry));
    return entry.isInSlowStart(now)
        || (evacuationEnd != null && !entry.receivedAt().isAfter(evacuationEnd));
  }

  /**
   * Returns a predicate that accepts an endpoint in slow start if this gateway has sent it nothing
   * for a minimum interval. The interval grows with the number of gateways, so that all of them
   * together keep to the request rate of slow start.
   */
  private Predicate<Entry> keepsToSlowStartRate(@Nullable ForwardService service, Instant now) {
    if (service == null || service.slowStartRequestsPerSecond() <= 0) {
      return _ -> true;
    }
    double gateways = Math.max(1, directory.mostKnown());
    Duration minInterval =
        Duration.ofNanos(
            (long) (NANOS_PER_SECOND * gateways / service.slowStartRequestsPerSecond()));
    return entry -> {
      Instant lastSentAt = lastSlowStartSendAt.get(entry.announcement().endpoint());
      return lastSentAt == null || !now.isBefore(lastSentAt.plus(minInterval));
    };
  }

  /** Records whether the region of an endpoint could be reached, if it is another one. */
  void recordReached(Announcement target, boolean reached, Instant now) {
    RegionId region = target.place().region();
    if (region.equals(localPlace.region())) {
      return;
    }
    if (reached) {
      reachability.recordReached(region);
    } else {
      reachability.recordUnreachable(region, now);
    }
  }

  private boolean isReached(Entry entry, Instant now) {
    return isInLocalRegion(entry) || reachability.isUsable(regionOf(entry), now);
  }

  private Optional<HostAddress> selectRelay(
      RegionId region, Map<RegionId, List<HostDescription>> relays) {
    if (region.equals(localPlace.region())) {
      return Optional.empty();
    }
    List<HostDescription> regionRelays = relays.getOrDefault(region, List.of());
    return Optional.of(regionRelays.get(random.nextInt(regionRelays.size())).internalAddress());
  }

  /** Returns the gateways that are not stopping, grouped by region; no list is empty. */
  private Map<RegionId, List<HostDescription>> relaysByRegion() {
    if (groupedChanges != directory.changes()) {
      groupedChanges = directory.changes();
      relaysByRegion =
          directory.all().stream()
              .filter(host -> !host.stopping())
              .collect(Collectors.groupingBy(host -> host.place().region()));
    }
    return relaysByRegion;
  }

  private boolean isInLocalRegion(Entry entry) {
    return regionOf(entry).equals(localPlace.region());
  }

  private static RegionId regionOf(Entry entry) {
    return entry.announcement().place().region();
  }

  private static DataCentreId dataCentreOf(Entry entry) {
    return entry.announcement().place().dataCentre();
  }
}
