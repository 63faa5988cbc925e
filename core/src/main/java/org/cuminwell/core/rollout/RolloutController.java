package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;

/**
 * Decides the next step of each rollout at the leader.
 *
 * <p>Invariants: the share of a route's rollout is raised only if the current step has enough pairs
 * and no strong evidence against the new version; a fault rolls the version back whatever the
 * deadline. The whole state comes from reports that gateways repeat within seconds, so a new leader
 * starts without any. Not thread safe: one thread owns it.
 */
public final class RolloutController {

  /** The minimum number of pairs in a step before the share of a route's rollout is raised. */
  public static final long MIN_PAIRS = 100;

  /** The minimum duration of a step of a route's rollout. */
  public static final Duration MIN_STEP_DURATION = Duration.ofSeconds(5);

  /** How long a gateway's report of the number of endpoints is valid. */
  private static final Duration REPORT_VALIDITY = Duration.ofSeconds(10);

  private static final double RAISE_FACTOR = 2;
  private static final double HALF_SHARE = 0.5;
  private static final double LAST_SHARE = 0.8;

  private final Map<RolloutSubject, Map<HostId, GatewayReport>> reports = new HashMap<>();
  private final Map<ServiceRollout, RecentEvidence> recent = new HashMap<>();

  /**
   * Holds the last report of one gateway, and the evidence of its earlier incarnations in the same
   * step.
   */
  private record GatewayReport(
      long incarnation,
      RolloutMessage.MoveReport report,
      RolloutEvidence earlierEvidence,
      Instant receivedAt) {

    RolloutEvidence total() {
      return earlierEvidence.plus(report.evidence());
    }
  }

  /** Records the reports of a gateway. */
  public void recordReport(RolloutMessage.Report message, Instant now) {
    for (RolloutMessage.MoveReport report : message.reports()) {
      reports
          .computeIfAbsent(report.subject(), _ -> new HashMap<>())
          .merge(
              message.gateway(),
              new GatewayReport(message.incarnation(), report, RolloutEvidence.NONE, now),
              RolloutController::merge);
    }
  }

  /** Returns the steps of routes' rollouts that should be recorded now. */
  public List<RolloutAdvance> nextRouteSteps(
      Collection<RouteRollout> configured, RolloutRegistry registry, Instant now) {
    List<RolloutAdvance> steps = new ArrayList<>();
    for (RouteRollout rollout : configured) {
      Optional<RolloutProgress> last = registry.find(rollout);
      if (last.isEmpty()) {
        steps.add(new RolloutAdvance(rollout, 1, new RolloutState.Starting()));
      } else {
        next(last.get(), now)
            .ifPresent(
                state -> steps.add(new RolloutAdvance(rollout, last.get().step() + 1, state)));
      }
    }
    return steps;
  }

  /** Returns the steps of services' rollouts that should be recorded now. */
  public List<RolloutAdvance> nextServiceSteps(
      Collection<ServiceRolloutState> services, Instant now) {
    List<RolloutAdvance> steps = new ArrayList<>();
    for (ServiceRolloutState service : services) {
      RolloutProgress last = service.last();
      next(last, now)
          .ifPresent(
              state -> steps.add(new RolloutAdvance(last.rollout(), last.step() + 1, state)));
    }
    return steps;
  }

  /** Describes, for operators, what a rollout that is not final waits for. */
  public String describeWait(RolloutProgress progress, Instant now) {
    long pairs = totalEvidence(progress).total().failures().total();
    if (countNewEndpoints(progress, now) == 0) {
      return "no endpoint of version " + progress.rollout().to() + " has announced itself";
    }
    if (pairs < MIN_PAIRS) {
      return "too little traffic: " + pairs + " of " + MIN_PAIRS + " pairs";
    }
    return FaultCheck.isAgainstNew(totalEvidence(progress), progress.rollout().bounds())
        ? "the evidence leans against version " + progress.rollout().to()
        : "the time of the step";
  }

  private Optional<RolloutState> next(RolloutProgress progress, Instant now) {
    if (progress.state().isFinal()) {
      return Optional.empty();
    }
    return switch (progress.rollout()) {
      case RouteRollout _ -> nextOfRoute(progress, now);
      case ServiceRollout rollout -> {
        RolloutEvidence all = totalEvidence(progress);
        RolloutEvidence recent = recent(rollout).add(all, now);
        yield ExposurePlan.next(
            progress, rollout, all, recent, countNewEndpoints(progress, now), now);
      }
    };
  }

  private RecentEvidence recent(ServiceRollout rollout) {
    recent.keySet().removeIf(other -> isReplacedBy(rollout, other));
    return recent.computeIfAbsent(rollout, _ -> new RecentEvidence());
  }

  private static boolean isReplacedBy(ServiceRollout rollout, ServiceRollout other) {
    return other.service().equals(rollout.service()) && !other.equals(rollout);
  }

  private Optional<RolloutState> nextOfRoute(RolloutProgress progress, Instant now) {
    RolloutEvidence evidence = totalEvidence(progress);
    Optional<String> fault = FaultCheck.findFault(evidence, progress.rollout().bounds());
    if (fault.isPresent()) {
      return Optional.of(new RolloutState.TakenBack(fault.get()));
    }
    if (mayRaise(progress, evidence, now)) {
      return Optional.of(withRaisedShare(progress));
    }
    boolean late = !now.isBefore(progress.rollout().deadline());
    return late && !(progress.state() instanceof RolloutState.Stuck)
        ? Optional.of(new RolloutState.Stuck(progress.state().share(), describeWait(progress, now)))
        : Optional.empty();
  }

  private boolean mayRaise(RolloutProgress progress, RolloutEvidence evidence, Instant now) {
    if (countNewEndpoints(progress, now) == 0) {
      return false;
    }
    if (progress.state().share() == 0) {
      return true;
    }
    return evidence.total().failures().total() >= MIN_PAIRS
        && !FaultCheck.isAgainstNew(evidence, progress.rollout().bounds())
        && !now.isBefore(progress.recordedAt().plus(stepDuration(progress)));
  }

  /**
   * Returns the duration of the current step, chosen so that the rollout ends well before its
   * deadline.
   */
  private static Duration stepDuration(RolloutProgress progress) {
    int remainingSteps = 1;
    for (double share = progress.state().share(); share < LAST_SHARE; share = nextShare(share)) {
      remainingSteps++;
    }
    Duration duration =
        Duration.between(progress.recordedAt(), progress.rollout().deadline())
            .dividedBy(2L * remainingSteps);
    return duration.compareTo(MIN_STEP_DURATION) > 0 ? duration : MIN_STEP_DURATION;
  }

  private static RolloutState withRaisedShare(RolloutProgress progress) {
    double share = progress.state().share();
    if (share == 0) {
      return new RolloutState.Canary(progress.rollout().bounds().firstShare());
    }
    return share >= LAST_SHARE
        ? new RolloutState.Done()
        : new RolloutState.Ramping(nextShare(share));
  }

  private static double nextShare(double share) {
    return share < HALF_SHARE ? Math.min(HALF_SHARE, share * RAISE_FACTOR) : LAST_SHARE;
  }

  private RolloutEvidence totalEvidence(RolloutProgress progress) {
    return findReports(progress).stream()
        .filter(report -> report.report().step() == progress.evidenceStep())
        .map(GatewayReport::total)
        .reduce(RolloutEvidence.NONE, RolloutEvidence::plus);
  }

  private int countNewEndpoints(RolloutProgress progress, Instant now) {
    return findReports(progress).stream()
        .filter(report -> now.isBefore(report.receivedAt().plus(REPORT_VALIDITY)))
        .mapToInt(report -> report.report().newEndpoints())
        .max()
        .orElse(0);
  }

  private Collection<GatewayReport> findReports(RolloutProgress progress) {
    return reports.getOrDefault(progress.rollout().subject(), Map.of()).values().stream()
        .filter(report -> report.report().to().equals(progress.rollout().to()))
        .toList();
  }

  private static GatewayReport merge(GatewayReport previous, GatewayReport next) {
    if (!next.report().to().equals(previous.report().to())) {
      return next;
    }
    if (next.incarnation() < previous.incarnation()
        || next.report().step() < previous.report().step()) {
      return previous;
    }
    if (next.report().step() > previous.report().step()) {
      return next;
    }
    if (next.incarnation() > previous.incarnation()) {
      return new GatewayReport(
          next.incarnation(), next.report(), previous.total(), next.receivedAt());
    }
    return next.report().evidence().attempts() >= previous.report().evidence().attempts()
        ? new GatewayReport(
            next.incarnation(), next.report(), previous.earlierEvidence(), next.receivedAt())
        : previous;
  }
}
