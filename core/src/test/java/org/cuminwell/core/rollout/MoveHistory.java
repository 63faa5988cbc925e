package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.VersionChooser.End;

/**
 * Plays one version rollout with six gateways, a leader and requests, in an order that the seed
 * gives. Confined to one test.
 */
final class MoveHistory {

  static final Duration DEADLINE = Duration.ofMinutes(2);

  private static final int GATEWAYS = 6;
  private static final int STEP_MILLIS = 20;
  private static final double REQUESTS_PER_SECOND = 20;
  private static final Duration END = Duration.ofSeconds(150);
  private static final Duration EVENT_AT = Duration.ofSeconds(25);
  private static final Duration EVENT_END = Duration.ofSeconds(45);
  private static final Duration LATE_FAULT = Duration.ofSeconds(40);
  private static final int LOADED = 12;
  private static final double FIRST_SHARE = 0.05;

  /** How the new version behaves. */
  enum Behaviour {
    GOOD,
    FAILS_AT_ONCE,
    FAILS_LATE,
    FAILS_SOMETIMES,
    SLOW,
    SLOW_UNDER_LOAD,
    CRASHES,
    MISSING
  }

  /** What happens meanwhile. */
  enum Event {
    NONE,
    LEADER_KILLED,
    GATEWAY_RESTARTED,
    DATA_CENTRE_CUT_OFF,
    STEPS_DOUBLED
  }

  /** How shares are decided. */
  enum Policy {
    EVIDENCE,
    FIXED_STEPS
  }

  /** Sums up one history. */
  record Result(
      RolloutState state,
      Duration endedAfter,
      long requests,
      long badAnswers,
      double newTokenShareInCanary,
      Duration lastNewAfterTakeBack) {}

  private final SplittableRandom random;
  private final Behaviour behaviour;
  private final Event event;
  private final Policy policy;
  private final Instant start = Instant.ofEpochSecond(10_000);
  private final RouteRollout routeRollout =
      new RouteRollout(
          new RouteId("chat"),
          new VersionId("v1"),
          new VersionId("v2"),
          start.plus(DEADLINE),
          new RolloutBounds(FIRST_SHARE, 0.02, 1.5));
  private final Entry oldEntry = entry("v1");
  private final Entry newEntry = entry("v2");
  private final VersionChooser[] gateways = new VersionChooser[GATEWAYS];
  private final RolloutRegistry book = new RolloutRegistry();
  private final FixedSteps baseline = new FixedSteps(routeRollout);
  private final TreeMap<Long, List<Runnable>> agenda = new TreeMap<>();
  private RolloutController leader = new RolloutController();
  private Instant now = start;
  private Instant downUntil = start;
  private Instant crashedAt = start;
  private Instant takenBackAt = Instant.MAX;
  private Instant endedAt = Instant.MAX;
  private Instant lastNewAt = start;
  private long requests;
  private long badAnswers;
  private long newTokens;
  private long tokens;
  private double canaryShare;
  private int runningNew;

  MoveHistory(long seed, Behaviour behaviour, Event event, Policy policy) {
    this.random = new SplittableRandom(seed);
    this.behaviour = behaviour;
    this.event = event;
    this.policy = policy;
    for (int g = 0; g < GATEWAYS; g++) {
      gateways[g] = new VersionChooser();
    }
  }

  Result play() {
    for (long millis = 0; millis < END.toMillis(); millis += STEP_MILLIS) {
      now = start.plusMillis(millis);
      while (!agenda.isEmpty() && agenda.firstKey() <= now.toEpochMilli()) {
        agenda.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      for (int g = 0; g < GATEWAYS; g++) {
        if (random.nextDouble() < REQUESTS_PER_SECOND * STEP_MILLIS / 1_000) {
          request(g);
        }
      }
      if (millis % 100 == 0) {
        control(millis);
      }
    }
    RolloutState state = state();
    Duration lastNew =
        takenBackAt.equals(Instant.MAX) || lastNewAt.isBefore(takenBackAt)
            ? Duration.ZERO
            : Duration.between(takenBackAt, lastNewAt);
    Duration ended = endedAt.equals(Instant.MAX) ? END : Duration.between(start, endedAt);
    return new Result(state, ended, requests, badAnswers, canaryShare, lastNew);
  }

  private RolloutState state() {
    return policy == Policy.FIXED_STEPS
        ? baseline.state()
        : book.find(routeRollout).map(RolloutProgress::state).orElseGet(RolloutState.Starting::new);
  }

  private void control(long millis) {
    boolean during = during();
    if (event == Event.LEADER_KILLED && during && millis == EVENT_AT.toMillis()) {
      leader = new RolloutController();
    }
    if (event == Event.GATEWAY_RESTARTED && millis == EVENT_AT.toMillis()) {
      gateways[0] = new VersionChooser();
    }
    boolean led = !(event == Event.LEADER_KILLED && during && millis < EVENT_AT.toMillis() + 3_000);
    if (policy == Policy.FIXED_STEPS) {
      baseline.tick(now);
    } else if (led) {
      decide(millis);
    }
    RolloutState state = state();
    if (state.isFinal() && endedAt.equals(Instant.MAX)) {
      endedAt = now;
      takenBackAt = state instanceof RolloutState.TakenBack ? now : Instant.MAX;
    }
  }

  private void decide(long millis) {
    for (int g = 0; g < GATEWAYS; g++) {
      if (isCutOff(g)) {
        continue;
      }
      gateways[g].setNewEndpointCount(routeRollout.route(), behaviour == Behaviour.MISSING ? 0 : 1);
      HostId host = new HostId("g" + g);
      gateways[g]
          .createReportIfDue(host, now)
          .ifPresent(report -> leader.recordReport(report, now));
    }
    boolean changed = false;
    for (RolloutAdvance advance : leader.nextRouteSteps(List.of(routeRollout), book, now)) {
      changed |= book.apply(advance, now);
      if (event == Event.STEPS_DOUBLED && book.apply(advance, now)) {
        throw new AssertionError("a step was recorded twice: " + advance);
      }
    }
    if (changed || millis % 500 == 0) {
      List<RolloutProgress> moves = book.latestSteps();
      for (int g = 0; g < GATEWAYS; g++) {
        VersionChooser gateway = gateways[g];
        if (!isCutOff(g)) {
          at(random.nextInt(1, 120), () -> gateway.recordSteps(moves, now));
        }
      }
    }
  }

  private boolean during() {
    return !now.isBefore(start.plus(EVENT_AT)) && now.isBefore(start.plus(EVENT_END));
  }

  private boolean isCutOff(int g) {
    return event == Event.DATA_CENTRE_CUT_OFF && g >= 4 && during();
  }

  private void request(int g) {
    requests++;
    RequestId id = new RequestId("r" + requests);
    boolean isDown = now.isBefore(downUntil) || behaviour == Behaviour.MISSING;
    List<Entry> candidates = isDown ? List.of(oldEntry) : List.of(oldEntry, newEntry);
    long answerTokens = random.nextLong(10, 50);
    long estimate = 200;
    VersionChooser gateway = gateways[g];
    boolean isNew;
    if (policy == Policy.FIXED_STEPS) {
      isNew = !isDown && random.nextDouble() < baseline.state().share();
    } else {
      List<Entry> chosen =
          gateway.selectVersion(
              routeRollout.route(), Optional.of(routeRollout), candidates, estimate, now);
      if (chosen.isEmpty()) {
        return;
      }
      isNew = chosen.contains(newEntry);
    }
    gateway.recordAttemptStarted(
        id, routeRollout.route(), isNew ? routeRollout.to() : routeRollout.from(), estimate, now);
    if (isNew) {
      lastNewAt = now;
      runningNew++;
    }
    answer(gateway, id, isNew, answerTokens);
  }

  private void answer(VersionChooser gateway, RequestId id, boolean isNew, long answerTokens) {
    double pace = Math.exp(0.4 * gaussian()) * (isNew ? slowdown() : 1);
    boolean failed = random.nextDouble() < (isNew ? failureRate() : 0.005);
    boolean bad = isNew && (failed || slowdown() > 1.5);
    if (isNew && failed && behaviour == Behaviour.CRASHES) {
      crashedAt = now;
      downUntil = now.plusSeconds(3);
    }
    Instant sentAt = now;
    Duration first = Duration.ofNanos((long) (1e8 * pace));
    long total = failed ? 50 : first.toMillis() + (long) (20 * pace * answerTokens);
    if (!failed) {
      at(first.toMillis(), () -> gateway.recordResponseStarted(id, now));
    }
    at(
        total,
        () -> {
          // A crash of the endpoint takes every request that runs there with it.
          boolean broken = failed || (isNew && crashedAt.isAfter(sentAt));
          runningNew -= isNew ? 1 : 0;
          badAnswers += bad || (isNew && broken) ? 1 : 0;
          long used = broken ? 0 : answerTokens;
          tokens += used;
          newTokens += isNew ? used : 0;
          if (state() instanceof RolloutState.Canary && tokens > 0) {
            canaryShare = Math.max(canaryShare, (double) newTokens / tokens);
          }
          baseline.ended(isNew, broken, first);
          gateway.recordAttemptEnded(
              id, broken ? End.FAILED : End.ANSWERED, new Usage(0, used), now);
        });
  }

  private double slowdown() {
    return switch (behaviour) {
      case SLOW -> 2.5;
      case SLOW_UNDER_LOAD -> runningNew > LOADED ? 3 : 1;
      case GOOD, FAILS_AT_ONCE, FAILS_LATE, FAILS_SOMETIMES, CRASHES, MISSING -> 1;
    };
  }

  private double failureRate() {
    return switch (behaviour) {
      case FAILS_AT_ONCE -> 1;
      case FAILS_LATE -> now.isBefore(start.plus(LATE_FAULT)) ? 0.005 : 0.5;
      case FAILS_SOMETIMES -> 0.12;
      case CRASHES -> 0.1;
      case GOOD, SLOW, SLOW_UNDER_LOAD, MISSING -> 0.005;
    };
  }

  private void at(long millis, Runnable step) {
    agenda.computeIfAbsent(now.toEpochMilli() + millis, _ -> new ArrayList<>()).add(step);
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private static Entry entry(String version) {
    Announcement announcement =
        new Announcement(
            new EndpointId("e-" + version),
            1,
            new Place(new RegionId("coast"), new DataCentreId("dakar")),
            new HostAddress("127.0.0.1", 1),
            Set.of("chat"),
            new VersionId(version),
            16,
            Duration.ofSeconds(3),
            true);
    return new Entry(announcement, Instant.EPOCH, false, Optional.empty());
  }
}
