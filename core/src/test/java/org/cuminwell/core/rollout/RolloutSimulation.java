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
import org.cuminwell.core.rollout.VersionChooser.AttemptResult;

/**
 * Simulates one rollout with six gateways, a leader and requests, in an order determined by the
 * seed. Confined to one test.
 */
final class RolloutSimulation {

  static final Duration DEADLINE = Duration.ofMinutes(2);

  private static final int GATEWAYS = 6;
  private static final int TICK_MILLIS = 20;
  private static final double REQUESTS_PER_SECOND = 20;
  private static final Duration DURATION = Duration.ofSeconds(150);
  private static final Duration DISTURBANCE_START = Duration.ofSeconds(25);
  private static final Duration DISTURBANCE_END = Duration.ofSeconds(45);
  private static final Duration LATE_FAULT_AT = Duration.ofSeconds(40);
  private static final int MAX_UNLOADED_REQUESTS = 12;
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

  /** The disturbance during the rollout. */
  enum Disturbance {
    NONE,
    LEADER_KILLED,
    GATEWAY_RESTARTED,
    DATA_CENTRE_CUT_OFF,
    STEPS_DOUBLED
  }

  /** The policy that decides the shares. */
  enum Policy {
    EVIDENCE,
    FIXED_STEPS
  }

  /**
   * Summarises one simulation.
   *
   * @param badResponses failed or slow responses of the new version
   * @param newTokenShareInCanary the maximum fraction of tokens that the new version had in the
   *     canary state
   * @param lastNewAfterRollback the time from the rollback to the last request at the new version
   */
  record Result(
      RolloutState state,
      Duration endedAfter,
      long requests,
      long badResponses,
      double newTokenShareInCanary,
      Duration lastNewAfterRollback) {}

  private final SplittableRandom random;
  private final Behaviour behaviour;
  private final Disturbance disturbance;
  private final Policy policy;
  private final Instant start = Instant.ofEpochSecond(10_000);
  private final RouteRollout rollout =
      new RouteRollout(
          new RouteId("chat"),
          new VersionId("v1"),
          new VersionId("v2"),
          start.plus(DEADLINE),
          new RolloutBounds(FIRST_SHARE, 0.02, 1.5));
  private final Entry oldEntry = entry("v1");
  private final Entry newEntry = entry("v2");
  private final VersionChooser[] gateways = new VersionChooser[GATEWAYS];
  private final RolloutRegistry registry = new RolloutRegistry();
  private final FixedStepPolicy baseline = new FixedStepPolicy(rollout);
  private final TreeMap<Long, List<Runnable>> scheduled = new TreeMap<>();
  private RolloutController leader = new RolloutController();
  private Instant now = start;
  private Instant newVersionDownUntil = start;
  private Instant crashedAt = start;
  private Instant rolledBackAt = Instant.MAX;
  private Instant endedAt = Instant.MAX;
  private Instant lastNewRequestAt = start;
  private long requests;
  private long badResponses;
  private long newTokens;
  private long tokens;
  private double maxCanaryShare;
  private int runningNewRequests;

  RolloutSimulation(long seed, Behaviour behaviour, Disturbance disturbance, Policy policy) {
    this.random = new SplittableRandom(seed);
    this.behaviour = behaviour;
    this.disturbance = disturbance;
    this.policy = policy;
    for (int g = 0; g < GATEWAYS; g++) {
      gateways[g] = new VersionChooser();
    }
  }

  Result run() {
    for (long millis = 0; millis < DURATION.toMillis(); millis += TICK_MILLIS) {
      now = start.plusMillis(millis);
      while (!scheduled.isEmpty() && scheduled.firstKey() <= now.toEpochMilli()) {
        scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      for (int g = 0; g < GATEWAYS; g++) {
        if (random.nextDouble() < REQUESTS_PER_SECOND * TICK_MILLIS / 1_000) {
          sendRequest(g);
        }
      }
      if (millis % 100 == 0) {
        tickControl(millis);
      }
    }
    RolloutState state = state();
    Duration lastNew =
        rolledBackAt.equals(Instant.MAX) || lastNewRequestAt.isBefore(rolledBackAt)
            ? Duration.ZERO
            : Duration.between(rolledBackAt, lastNewRequestAt);
    Duration ended = endedAt.equals(Instant.MAX) ? DURATION : Duration.between(start, endedAt);
    return new Result(state, ended, requests, badResponses, maxCanaryShare, lastNew);
  }

  private RolloutState state() {
    return policy == Policy.FIXED_STEPS
        ? baseline.state()
        : registry.find(rollout).map(RolloutProgress::state).orElseGet(RolloutState.Starting::new);
  }

  private void tickControl(long millis) {
    boolean disturbed = isDisturbed();
    if (disturbance == Disturbance.LEADER_KILLED
        && disturbed
        && millis == DISTURBANCE_START.toMillis()) {
      leader = new RolloutController();
    }
    if (disturbance == Disturbance.GATEWAY_RESTARTED && millis == DISTURBANCE_START.toMillis()) {
      gateways[0] = new VersionChooser();
    }
    boolean hasLeader =
        !(disturbance == Disturbance.LEADER_KILLED
            && disturbed
            && millis < DISTURBANCE_START.toMillis() + 3_000);
    if (policy == Policy.FIXED_STEPS) {
      baseline.tick(now);
    } else if (hasLeader) {
      decide(millis);
    }
    RolloutState state = state();
    if (state.isFinal() && endedAt.equals(Instant.MAX)) {
      endedAt = now;
      rolledBackAt = state instanceof RolloutState.TakenBack ? now : Instant.MAX;
    }
  }

  private void decide(long millis) {
    for (int g = 0; g < GATEWAYS; g++) {
      if (isCutOff(g)) {
        continue;
      }
      gateways[g].setNewEndpointCount(rollout.route(), behaviour == Behaviour.MISSING ? 0 : 1);
      HostId host = new HostId("g" + g);
      gateways[g]
          .createReportIfDue(host, now)
          .ifPresent(report -> leader.recordReport(report, now));
    }
    boolean changed = false;
    for (RolloutAdvance advance : leader.nextRouteSteps(List.of(rollout), registry, now)) {
      changed |= registry.recordIfNext(advance, now);
      if (disturbance == Disturbance.STEPS_DOUBLED && registry.recordIfNext(advance, now)) {
        throw new AssertionError("a step was recorded twice: " + advance);
      }
    }
    if (changed || millis % 500 == 0) {
      List<RolloutProgress> steps = registry.latestSteps();
      for (int g = 0; g < GATEWAYS; g++) {
        VersionChooser gateway = gateways[g];
        if (!isCutOff(g)) {
          schedule(random.nextInt(1, 120), () -> gateway.recordSteps(steps, now));
        }
      }
    }
  }

  private boolean isDisturbed() {
    return !now.isBefore(start.plus(DISTURBANCE_START))
        && now.isBefore(start.plus(DISTURBANCE_END));
  }

  private boolean isCutOff(int g) {
    return disturbance == Disturbance.DATA_CENTRE_CUT_OFF && g >= 4 && isDisturbed();
  }

  private void sendRequest(int g) {
    requests++;
    RequestId id = new RequestId("r" + requests);
    boolean isDown = now.isBefore(newVersionDownUntil) || behaviour == Behaviour.MISSING;
    List<Entry> candidates = isDown ? List.of(oldEntry) : List.of(oldEntry, newEntry);
    long responseTokens = random.nextLong(10, 50);
    long estimatedTokens = 200;
    VersionChooser gateway = gateways[g];
    boolean isNew;
    if (policy == Policy.FIXED_STEPS) {
      isNew = !isDown && random.nextDouble() < baseline.state().share();
    } else {
      List<Entry> chosen =
          gateway.selectVersion(
              rollout.route(), Optional.of(rollout), candidates, estimatedTokens, now);
      if (chosen.isEmpty()) {
        return;
      }
      isNew = chosen.contains(newEntry);
    }
    gateway.recordAttemptStarted(
        id, rollout.route(), isNew ? rollout.to() : rollout.from(), estimatedTokens, now);
    if (isNew) {
      lastNewRequestAt = now;
      runningNewRequests++;
    }
    scheduleResponse(gateway, id, isNew, responseTokens);
  }

  private void scheduleResponse(
      VersionChooser gateway, RequestId id, boolean isNew, long responseTokens) {
    double slowness = Math.exp(0.4 * gaussian()) * (isNew ? slowdown() : 1);
    boolean failed = random.nextDouble() < (isNew ? failureRate() : 0.005);
    boolean bad = isNew && (failed || slowdown() > 1.5);
    if (isNew && failed && behaviour == Behaviour.CRASHES) {
      crashedAt = now;
      newVersionDownUntil = now.plusSeconds(3);
    }
    Instant sentAt = now;
    Duration timeToFirstToken = Duration.ofNanos((long) (1e8 * slowness));
    long durationMillis =
        failed ? 50 : timeToFirstToken.toMillis() + (long) (20 * slowness * responseTokens);
    if (!failed) {
      schedule(timeToFirstToken.toMillis(), () -> gateway.recordResponseStarted(id, now));
    }
    schedule(
        durationMillis,
        () -> {
          // A crash of the endpoint fails every request that is running there.
          boolean broken = failed || (isNew && crashedAt.isAfter(sentAt));
          runningNewRequests -= isNew ? 1 : 0;
          badResponses += bad || (isNew && broken) ? 1 : 0;
          long usedTokens = broken ? 0 : responseTokens;
          tokens += usedTokens;
          newTokens += isNew ? usedTokens : 0;
          if (state() instanceof RolloutState.Canary && tokens > 0) {
            maxCanaryShare = Math.max(maxCanaryShare, (double) newTokens / tokens);
          }
          baseline.recordEnded(isNew, broken, timeToFirstToken);
          gateway.recordAttemptEnded(
              id,
              broken ? AttemptResult.FAILED : AttemptResult.COMPLETED,
              new Usage(0, usedTokens),
              now);
        });
  }

  private double slowdown() {
    return switch (behaviour) {
      case SLOW -> 2.5;
      case SLOW_UNDER_LOAD -> runningNewRequests > MAX_UNLOADED_REQUESTS ? 3 : 1;
      case GOOD, FAILS_AT_ONCE, FAILS_LATE, FAILS_SOMETIMES, CRASHES, MISSING -> 1;
    };
  }

  private double failureRate() {
    return switch (behaviour) {
      case FAILS_AT_ONCE -> 1;
      case FAILS_LATE -> now.isBefore(start.plus(LATE_FAULT_AT)) ? 0.005 : 0.5;
      case FAILS_SOMETIMES -> 0.12;
      case CRASHES -> 0.1;
      case GOOD, SLOW, SLOW_UNDER_LOAD, MISSING -> 0.005;
    };
  }

  private void schedule(long millis, Runnable step) {
    scheduled.computeIfAbsent(now.toEpochMilli() + millis, _ -> new ArrayList<>()).add(step);
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
