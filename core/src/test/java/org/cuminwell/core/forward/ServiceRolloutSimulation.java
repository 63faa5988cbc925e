package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutController;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.core.routing.Prompt;

/**
 * Simulates the rollout of a new version of a service with several gateways and one control leader,
 * from a seed.
 *
 * <p>Not thread safe: confined to one test.
 */
final class ServiceRolloutSimulation {

  static final ExposureBounds EXPOSURE = new ExposureBounds(0.1, 50);
  static final int MAX_BAD_RESPONSES = 50;

  private static final String SERVICE = "app";
  private static final VersionId OLD = new VersionId("v1");
  private static final VersionId NEW = new VersionId("v2");
  private static final int GATEWAYS = 6;
  private static final int STEP_MILLIS = 10;
  private static final Duration NEW_ENDPOINTS_START_AFTER = Duration.ofSeconds(2);
  private static final Duration SLOW_START = Duration.ofSeconds(1);
  private static final Duration EVENT_AT = Duration.ofSeconds(6);
  private static final Duration EVENT_END = Duration.ofSeconds(9);
  private static final double BAD_FRACTION = 0.5;
  private static final double SLOWDOWN = 4;
  private static final int OVERLOAD_REQUESTS = 8;

  /** The behaviour of the new version. */
  enum Behaviour {
    GOOD,
    SLOW,
    SLOW_LATER,
    SLOW_ON_ONE_ROUTE,
    SLOW_UNDER_LOAD,
    FAILS
  }

  /** The disturbance during the rollout. */
  enum Event {
    NONE,
    LEADER_KILLED,
    GATEWAYS_CUT_OFF,
    GATEWAY_RESTARTED,
    ORDER_REPEATED,
    OTHER_ORDER
  }

  /**
   * Sums up one simulation.
   *
   * @param requests requests at any version between the order and its deadline
   * @param newRequests those of them at the new version
   * @param lastNewAfterBound how long after the last bad response that the bound allows a request
   *     still went to the new version; zero if none did
   * @param newAfterEnd requests at the new version more than two seconds after it was rolled back,
   *     by when every gateway must know
   */
  record Result(
      RolloutState state,
      long requests,
      long newRequests,
      Duration lastNewAfterBound,
      long newAfterEnd) {}

  /** Holds the state of a simulated gateway. A restart replaces {@code versions}. */
  private static final class Gateway {

    private final EndpointTable endpoints = new EndpointTable();
    private VersionRouter versions = new VersionRouter(endpoints);
    private Forwarding forwarding = Forwarding.NONE;
    private Instant currentAsOf = Instant.MIN;
  }

  private final SplittableRandom random;
  private final Behaviour behaviour;
  private final Event event;
  private final double requestsPerSecond;
  private final Instant start = Instant.ofEpochSecond(10_000);
  private final Duration duration;
  private final List<Gateway> gateways = new ArrayList<>();
  private final TreeMap<Long, List<Runnable>> scheduledSteps = new TreeMap<>();
  private final ForwardRoute longRoute = route("long");
  private final ForwardRoute shortRoute = route("short");
  private RolloutController leader = new RolloutController();
  private Forwarding committed = Forwarding.NONE;
  private Instant now = start;
  private Instant boundReachedAt = Instant.MAX;
  private Instant lastNewAt = start;
  private Instant rolledBackAt = Instant.MAX;
  private long requests;
  private long newRequests;
  private long newAfterEnd;
  private int badResponses;
  private int runningAtNew;

  ServiceRolloutSimulation(
      long seed, Behaviour behaviour, Event event, Duration duration, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.behaviour = behaviour;
    this.event = event;
    this.duration = duration;
    this.requestsPerSecond = perSecond;
    for (int g = 0; g < GATEWAYS; g++) {
      gateways.add(new Gateway());
    }
  }

  Result run() {
    now = start.minusSeconds(2);
    while (now.isBefore(start.plus(duration).plusSeconds(10))) {
      now = now.plusMillis(STEP_MILLIS);
      while (!scheduledSteps.isEmpty() && scheduledSteps.firstKey() <= now.toEpochMilli()) {
        scheduledSteps.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      long millis = now.toEpochMilli() - start.toEpochMilli();
      if (millis == 0) {
        orderRollout(NEW);
      }
      triggerEvent(millis);
      if (millis % 1_000 == 0) {
        gateways.forEach(this::announceEndpoints);
      }
      for (int g = 0; g < GATEWAYS; g++) {
        stepGateway(g, millis);
      }
      if (millis > 0 && millis % 50 == 0 && !isLeaderless()) {
        advanceRollout();
      }
    }
    Duration late =
        lastNewAt.isBefore(boundReachedAt)
            ? Duration.ZERO
            : Duration.between(boundReachedAt, lastNewAt);
    return new Result(lastState(), requests, newRequests, late, newAfterEnd);
  }

  private void orderRollout(VersionId target) {
    RolloutOrder order = new RolloutOrder(SERVICE, target, duration, EXPOSURE);
    Optional<ServiceRolloutState> before =
        Optional.ofNullable(committed.serviceRollouts().get(SERVICE));
    committed =
        committed.withServiceRollouts(SERVICE, ServiceRolloutState.afterOrder(before, order, now));
  }

  private void triggerEvent(long millis) {
    if (millis != EVENT_AT.toMillis()) {
      return;
    }
    switch (event) {
      case LEADER_KILLED -> leader = new RolloutController();
      case GATEWAY_RESTARTED ->
          gateways.get(0).versions = new VersionRouter(gateways.get(0).endpoints);
      case ORDER_REPEATED -> orderRollout(NEW);
      case OTHER_ORDER -> orderRollout(new VersionId("v3"));
      case NONE, GATEWAYS_CUT_OFF -> {}
    }
  }

  private boolean isLeaderless() {
    return event == Event.LEADER_KILLED && isDuringEvent() && now.isBefore(start.plusMillis(7_500));
  }

  private boolean isDuringEvent() {
    return !now.isBefore(start.plus(EVENT_AT)) && now.isBefore(start.plus(EVENT_END));
  }

  private boolean isCutOff(int g) {
    return event == Event.GATEWAYS_CUT_OFF && g >= 4 && isDuringEvent();
  }

  private void announceEndpoints(Gateway gateway) {
    announce(gateway, "a", OLD, Duration.ZERO);
    announce(gateway, "b", OLD, Duration.ZERO);
    Instant startedAt = start.plus(NEW_ENDPOINTS_START_AFTER);
    if (!now.isBefore(startedAt)) {
      Duration slowStartLeft = Duration.between(now, startedAt.plus(SLOW_START));
      announce(gateway, "c", NEW, slowStartLeft.isNegative() ? Duration.ZERO : slowStartLeft);
    }
  }

  private void announce(
      Gateway gateway, String id, VersionId version, Duration slowStartRemaining) {
    gateway.endpoints.recordAnnouncement(
        new Announcement(
            new EndpointId(id),
            1,
            new Place(new RegionId("coast"), new DataCentreId("dakar")),
            new HostAddress("10.0.0.1", id.charAt(0)),
            Set.of(SERVICE),
            version,
            128,
            Duration.ofSeconds(10),
            false,
            now.toEpochMilli(),
            slowStartRemaining),
        now);
  }

  private void stepGateway(int g, long millis) {
    Gateway gateway = gateways.get(g);
    if (millis % 500 == 0 && !isCutOff(g)) {
      Instant askedAt = now;
      scheduleAfter(
          random.nextInt(10, 120),
          () -> {
            gateway.forwarding = committed;
            gateway.currentAsOf = askedAt;
          });
    }
    gateway.versions.configure(gateway.forwarding, gateway.currentAsOf, now);
    gateway.versions.tick(now);
    if (random.nextDouble() < requestsPerSecond / GATEWAYS * STEP_MILLIS / 1_000) {
      sendRequest(gateway);
    }
    if (millis % 50 == 0) {
      gateway
          .versions
          .createReportIfDue(new HostId("g" + g), entry -> entry.isInSlowStart(now), now)
          .filter(_ -> !isCutOff(g) && !isLeaderless())
          .ifPresent(report -> leader.recordReport(report, now));
    }
  }

  private void advanceRollout() {
    for (RolloutAdvance advance :
        leader.nextServiceSteps(committed.serviceRollouts().values(), now)) {
      ServiceRolloutState next = rollouts().afterAdvance(advance, now);
      committed = committed.withServiceRollouts(SERVICE, next);
    }
    if (lastState() instanceof RolloutState.TakenBack && rolledBackAt.equals(Instant.MAX)) {
      rolledBackAt = now;
    }
  }

  private RolloutState lastState() {
    return rollouts().last().state();
  }

  private ServiceRolloutState rollouts() {
    return Objects.requireNonNull(committed.serviceRollouts().get(SERVICE));
  }

  private void sendRequest(Gateway gateway) {
    boolean isLong = random.nextDouble() < 0.22;
    ForwardRoute route = isLong ? longRoute : shortRoute;
    ForwardedCall call =
        new ForwardedCall(forwardRequest("r" + requests), 0, route, Optional.empty());
    List<Entry> open = gateway.endpoints.findServing(SERVICE, now);
    List<Entry> chosen =
        gateway.versions.selectPermitted(call, open, e -> e.isInSlowStart(now), now);
    if (chosen.isEmpty()) {
      return;
    }
    Announcement target = chosen.get(random.nextInt(chosen.size())).announcement();
    call.startAttempt(target, now);
    gateway.versions.recordSent(call, target, now);
    boolean isNew = target.version().equals(NEW);
    countRequest(isNew);
    scheduleResponse(gateway.versions, call, isNew, isLong);
  }

  private void countRequest(boolean isNew) {
    if (!now.isBefore(start) && now.isBefore(start.plus(duration))) {
      requests++;
      newRequests += isNew ? 1 : 0;
    }
    if (isNew) {
      lastNewAt = now;
      newAfterEnd += now.minusSeconds(2).isAfter(rolledBackAt) ? 1 : 0;
    }
  }

  private void scheduleResponse(
      VersionRouter versions, ForwardedCall call, boolean isNew, boolean isLong) {
    boolean isBad = isNew && isBad(isLong) && random.nextDouble() < BAD_FRACTION;
    boolean fails = isBad ? behaviour == Behaviour.FAILS : random.nextDouble() < 0.005;
    double pace = Math.exp(0.4 * gaussian()) * (isBad && !fails ? SLOWDOWN : 1);
    long first = (long) (pace * (isLong ? 250 : 100));
    long gap = (long) (pace * 30);
    runningAtNew += isNew ? 1 : 0;
    scheduleAfter(first, () -> versions.recordBodyStarted(call, now));
    scheduleAfter(
        first + 5 * gap, () -> versions.recordEventGap(call, Duration.ofMillis(gap), now));
    scheduleAfter(
        first + 30 * gap,
        () -> {
          runningAtNew -= isNew ? 1 : 0;
          countBadResponse(isBad);
          if (fails) {
            versions.recordEndpointFailure(call);
          }
          versions.recordCompleted(call, now);
        });
  }

  private void countBadResponse(boolean isBad) {
    badResponses += isBad ? 1 : 0;
    if (badResponses >= MAX_BAD_RESPONSES && boundReachedAt.equals(Instant.MAX)) {
      boundReachedAt = now;
    }
  }

  private boolean isBad(boolean isLong) {
    return switch (behaviour) {
      case GOOD -> false;
      case SLOW, FAILS -> true;
      case SLOW_LATER -> now.isAfter(start.plus(duration.dividedBy(2)));
      case SLOW_ON_ONE_ROUTE -> isLong;
      case SLOW_UNDER_LOAD -> runningAtNew > OVERLOAD_REQUESTS;
    };
  }

  private void scheduleAfter(long millis, Runnable step) {
    scheduledSteps.computeIfAbsent(now.toEpochMilli() + millis, _ -> new ArrayList<>()).add(step);
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private ForwardRequest forwardRequest(String id) {
    return new ForwardRequest(
        new RequestId(id),
        id,
        "host.example",
        "/a/",
        Optional.empty(),
        now,
        Optional.empty(),
        OptionalLong.empty(),
        new Prompt(List.of()));
  }

  private static ForwardRoute route(String id) {
    return new ForwardRoute(
        new RouteId(id),
        "host.example",
        "/" + id + "/",
        RetrySemantics.fromLabel("stream_once"),
        Duration.ofSeconds(15),
        Duration.ofSeconds(1),
        0,
        List.of(new ForwardRoute.WeightedService(SERVICE, 1)),
        1,
        true,
        false,
        Set.of());
  }
}
