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
 * Plays a version rollout of a service over several gateways and one leader, from a seed.
 *
 * <p>Not thread safe: confined to one test.
 */
final class ServiceMoveHistory {

  static final ExposureBounds EXPOSURE = new ExposureBounds(0.1, 50);
  static final int BAD_ANSWERS = 50;

  private static final String SERVICE = "app";
  private static final VersionId OLD = new VersionId("v1");
  private static final VersionId NEW = new VersionId("v2");
  private static final int GATEWAYS = 6;
  private static final int STEP_MILLIS = 10;
  private static final Duration START_UP = Duration.ofSeconds(2);
  private static final Duration COLD = Duration.ofSeconds(1);
  private static final Duration EVENT_AT = Duration.ofSeconds(6);
  private static final Duration EVENT_END = Duration.ofSeconds(9);
  private static final double BAD_SHARE = 0.5;
  private static final double SLOWDOWN = 4;
  private static final int LOADED = 8;

  /** How the new version behaves. */
  enum Behaviour {
    GOOD,
    SLOW,
    SLOW_LATER,
    SLOW_ON_ONE_ROUTE,
    SLOW_UNDER_LOAD,
    FAILS
  }

  /** What happens meanwhile. */
  enum Event {
    NONE,
    LEADER_KILLED,
    GATEWAYS_CUT_OFF,
    GATEWAY_RESTARTED,
    ORDER_REPEATED,
    OTHER_ORDER
  }

  /**
   * Sums up one history.
   *
   * @param newRequests requests at the new version until the deadline
   * @param lastNewAfterBound how long after the last bad answer that the bound allows a request
   *     went to the new version
   * @param newAfterEnd requests at the new version later than a gateway may know that it was taken
   *     back
   */
  record Result(
      RolloutState state,
      long requests,
      long newRequests,
      Duration lastNewAfterBound,
      long newAfterEnd) {}

  /** A gateway and what it holds; another life has another {@code versions}. */
  private static final class Gateway {

    private final EndpointTable endpoints = new EndpointTable();
    private ForwardVersions versions = new ForwardVersions(endpoints);
    private Forwarding known = Forwarding.NONE;
    private Instant currentAt = Instant.MIN;
  }

  private final SplittableRandom random;
  private final Behaviour behaviour;
  private final Event event;
  private final double perSecond;
  private final Instant start = Instant.ofEpochSecond(10_000);
  private final Duration duration;
  private final List<Gateway> gateways = new ArrayList<>();
  private final TreeMap<Long, List<Runnable>> agenda = new TreeMap<>();
  private final ForwardRoute longRoute = route("long");
  private final ForwardRoute shortRoute = route("short");
  private RolloutController leader = new RolloutController();
  private Forwarding committed = Forwarding.NONE;
  private Instant now = start;
  private Instant boundAt = Instant.MAX;
  private Instant lastNewAt = start;
  private Instant endedAt = Instant.MAX;
  private long requests;
  private long newRequests;
  private long newAfterEnd;
  private int badAnswers;
  private int runningNew;

  ServiceMoveHistory(
      long seed, Behaviour behaviour, Event event, Duration duration, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.behaviour = behaviour;
    this.event = event;
    this.duration = duration;
    this.perSecond = perSecond;
    for (int g = 0; g < GATEWAYS; g++) {
      gateways.add(new Gateway());
    }
  }

  Result play() {
    now = start.minusSeconds(2);
    while (now.isBefore(start.plus(duration).plusSeconds(10))) {
      now = now.plusMillis(STEP_MILLIS);
      while (!agenda.isEmpty() && agenda.firstKey() <= now.toEpochMilli()) {
        agenda.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      long millis = now.toEpochMilli() - start.toEpochMilli();
      if (millis == 0) {
        order(NEW);
      }
      disturb(millis);
      if (millis % 1_000 == 0) {
        gateways.forEach(this::hearEndpoints);
      }
      for (int g = 0; g < GATEWAYS; g++) {
        gateway(g, millis);
      }
      if (millis > 0 && millis % 50 == 0 && !isLeaderless()) {
        decide();
      }
    }
    Duration late =
        lastNewAt.isBefore(boundAt) ? Duration.ZERO : Duration.between(boundAt, lastNewAt);
    return new Result(lastState(), requests, newRequests, late, newAfterEnd);
  }

  private void order(VersionId target) {
    RolloutOrder order = new RolloutOrder(SERVICE, target, duration, EXPOSURE);
    Optional<ServiceRolloutState> before =
        Optional.ofNullable(committed.serviceRollouts().get(SERVICE));
    committed =
        committed.withServiceRollouts(SERVICE, ServiceRolloutState.afterOrder(before, order, now));
  }

  private void disturb(long millis) {
    if (millis != EVENT_AT.toMillis()) {
      return;
    }
    switch (event) {
      case LEADER_KILLED -> leader = new RolloutController();
      case GATEWAY_RESTARTED ->
          gateways.get(0).versions = new ForwardVersions(gateways.get(0).endpoints);
      case ORDER_REPEATED -> order(NEW);
      case OTHER_ORDER -> order(new VersionId("v3"));
      case NONE, GATEWAYS_CUT_OFF -> {}
    }
  }

  private boolean isLeaderless() {
    return event == Event.LEADER_KILLED && during() && now.isBefore(start.plusMillis(7_500));
  }

  private boolean during() {
    return !now.isBefore(start.plus(EVENT_AT)) && now.isBefore(start.plus(EVENT_END));
  }

  private boolean isCutOff(int g) {
    return event == Event.GATEWAYS_CUT_OFF && g >= 4 && during();
  }

  private void hearEndpoints(Gateway gateway) {
    announce(gateway, "a", OLD, Duration.ZERO);
    announce(gateway, "b", OLD, Duration.ZERO);
    Instant up = start.plus(START_UP);
    if (!now.isBefore(up)) {
      Duration cold = Duration.between(now, up.plus(COLD));
      announce(gateway, "c", NEW, cold.isNegative() ? Duration.ZERO : cold);
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

  private void gateway(int g, long millis) {
    Gateway gateway = gateways.get(g);
    if (millis % 500 == 0 && !isCutOff(g)) {
      Instant askedAt = now;
      at(
          random.nextInt(10, 120),
          () -> {
            gateway.known = committed;
            gateway.currentAt = askedAt;
          });
    }
    gateway.versions.configure(gateway.known, gateway.currentAt, now);
    gateway.versions.tick(now);
    if (random.nextDouble() < perSecond / GATEWAYS * STEP_MILLIS / 1_000) {
      request(gateway);
    }
    if (millis % 50 == 0) {
      gateway
          .versions
          .report(new HostId("g" + g), entry -> entry.isInSlowStart(now), now)
          .filter(_ -> !isCutOff(g) && !isLeaderless())
          .ifPresent(report -> leader.recordReport(report, now));
    }
  }

  private void decide() {
    for (RolloutAdvance advance :
        leader.nextServiceSteps(committed.serviceRollouts().values(), now)) {
      ServiceRolloutState next = moves().afterAdvance(advance, now);
      committed = committed.withServiceRollouts(SERVICE, next);
    }
    if (lastState() instanceof RolloutState.TakenBack && endedAt.equals(Instant.MAX)) {
      endedAt = now;
    }
  }

  private RolloutState lastState() {
    return moves().last().state();
  }

  private ServiceRolloutState moves() {
    return Objects.requireNonNull(committed.serviceRollouts().get(SERVICE));
  }

  private void request(Gateway gateway) {
    boolean isLong = random.nextDouble() < 0.22;
    ForwardRoute route = isLong ? longRoute : shortRoute;
    ForwardedCall call = new ForwardedCall(head("r" + requests), route, Optional.empty());
    List<Entry> open = gateway.endpoints.findServing(SERVICE, now);
    List<Entry> chosen = gateway.versions.choose(call, open, e -> e.isInSlowStart(now), now);
    if (chosen.isEmpty()) {
      return;
    }
    Announcement target = chosen.get(random.nextInt(chosen.size())).announcement();
    call.begin(target, now);
    gateway.versions.sent(call, target, now);
    boolean isNew = target.version().equals(NEW);
    count(isNew);
    answer(gateway.versions, call, isNew, isLong);
  }

  private void count(boolean isNew) {
    if (!now.isBefore(start) && now.isBefore(start.plus(duration))) {
      requests++;
      newRequests += isNew ? 1 : 0;
    }
    if (isNew) {
      lastNewAt = now;
      newAfterEnd += now.minusSeconds(2).isAfter(endedAt) ? 1 : 0;
    }
  }

  private void answer(ForwardVersions versions, ForwardedCall call, boolean isNew, boolean isLong) {
    boolean isBad = isNew && isBad(isLong) && random.nextDouble() < BAD_SHARE;
    boolean fails = isBad ? behaviour == Behaviour.FAILS : random.nextDouble() < 0.005;
    double pace = Math.exp(0.4 * gaussian()) * (isBad && !fails ? SLOWDOWN : 1);
    long first = (long) (pace * (isLong ? 250 : 100));
    long gap = (long) (pace * 30);
    runningNew += isNew ? 1 : 0;
    at(first, () -> versions.began(call, now));
    at(first + 5 * gap, () -> versions.eventsCame(call, Duration.ofMillis(gap), now));
    at(
        first + 30 * gap,
        () -> {
          runningNew -= isNew ? 1 : 0;
          countBad(isBad);
          if (fails) {
            versions.failed(call);
          }
          versions.answered(call, now);
        });
  }

  private void countBad(boolean isBad) {
    badAnswers += isBad ? 1 : 0;
    if (badAnswers >= BAD_ANSWERS && boundAt.equals(Instant.MAX)) {
      boundAt = now;
    }
  }

  private boolean isBad(boolean isLong) {
    return switch (behaviour) {
      case GOOD -> false;
      case SLOW, FAILS -> true;
      case SLOW_LATER -> now.isAfter(start.plus(duration.dividedBy(2)));
      case SLOW_ON_ONE_ROUTE -> isLong;
      case SLOW_UNDER_LOAD -> runningNew > LOADED;
    };
  }

  private void at(long millis, Runnable step) {
    agenda.computeIfAbsent(now.toEpochMilli() + millis, _ -> new ArrayList<>()).add(step);
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private ForwardRequest head(String id) {
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
