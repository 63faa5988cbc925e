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
 * Decides the next step of each version rollout at the leader.
 *
 * <p>Invariants: a share is raised only with enough pairs of the present step and no doubt in them;
 * a fault that shows takes the version back whatever the deadline. All it knows comes again from
 * gateways within seconds, so a new leader starts with nothing. Not thread safe: one thread owns
 * it.
 */
public final class RolloutController {

  /** How many pairs a step needs before the share is raised. */
  public static final long MIN_PAIRS = 100;

  /** The shortest time that a step takes. */
  public static final Duration MIN_STEP = Duration.ofSeconds(5);

  /** How long a gateway's word on endpoints counts. */
  private static final Duration REPORT_LIFE = Duration.ofSeconds(10);

  private static final double RAISE_FACTOR = 2;
  private static final double HALF = 0.5;
  private static final double LAST_SHARE = 0.8;

  private final Map<RolloutSubject, Map<HostId, Seen>> reports = new HashMap<>();
  private final Map<ServiceRollout, RecentEvidence> recent = new HashMap<>();

  /** Is the last report of one gateway, and what its earlier lives saw in the same step. */
  private record Seen(
      long incarnation,
      RolloutMessage.MoveReport report,
      RolloutEvidence earlierLives,
      Instant heardAt) {

    RolloutEvidence total() {
      return earlierLives.plus(report.seen());
    }
  }

  /** Takes in what a gateway saw. */
  public void recordReport(RolloutMessage.Report message, Instant now) {
    for (RolloutMessage.MoveReport report : message.moves()) {
      reports
          .computeIfAbsent(report.subject(), _ -> new HashMap<>())
          .merge(
              message.gateway(),
              new Seen(message.incarnation(), report, RolloutEvidence.NONE, now),
              RolloutController::later);
    }
  }

  /** Returns the steps that should be recorded now. */
  public List<RolloutAdvance> nextRouteSteps(
      Collection<RouteRollout> configured, RolloutRegistry book, Instant now) {
    List<RolloutAdvance> steps = new ArrayList<>();
    for (RouteRollout routeRollout : configured) {
      Optional<RolloutProgress> last = book.find(routeRollout);
      if (last.isEmpty()) {
        steps.add(new RolloutAdvance(routeRollout, 1, new RolloutState.Starting()));
      } else {
        next(last.get(), now)
            .ifPresent(
                state -> steps.add(new RolloutAdvance(routeRollout, last.get().step() + 1, state)));
      }
    }
    return steps;
  }

  /** Returns the steps of services that should be recorded now. */
  public List<RolloutAdvance> nextServiceSteps(
      Collection<ServiceRolloutState> services, Instant now) {
    List<RolloutAdvance> steps = new ArrayList<>();
    for (ServiceRolloutState moves : services) {
      RolloutProgress last = moves.last();
      next(last, now)
          .ifPresent(
              state -> steps.add(new RolloutAdvance(last.rollout(), last.step() + 1, state)));
    }
    return steps;
  }

  /** Returns in words what an open move waits for. */
  public String waitsFor(RolloutProgress move, Instant now) {
    long pairs = evidence(move).total().failures().total();
    if (newEndpoints(move, now) == 0) {
      return "no endpoint of version " + move.rollout().to() + " has announced itself";
    }
    if (pairs < MIN_PAIRS) {
      return "too little traffic: " + pairs + " of " + MIN_PAIRS + " pairs";
    }
    return FaultCheck.isDoubtful(evidence(move), move.rollout().bounds())
        ? "the evidence leans against version " + move.rollout().to()
        : "the time of the step";
  }

  private Optional<RolloutState> next(RolloutProgress move, Instant now) {
    if (move.state().isFinal()) {
      return Optional.empty();
    }
    return switch (move.rollout()) {
      case RouteRollout _ -> nextOfRoute(move, now);
      case ServiceRollout rollout -> {
        RolloutEvidence all = evidence(move);
        RolloutEvidence recent = recent(rollout).add(all, now);
        yield ExposurePlan.next(move, rollout, all, recent, newEndpoints(move, now), now);
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

  private Optional<RolloutState> nextOfRoute(RolloutProgress move, Instant now) {
    RolloutEvidence seen = evidence(move);
    Optional<String> fault = FaultCheck.fault(seen, move.rollout().bounds());
    if (fault.isPresent()) {
      return Optional.of(new RolloutState.TakenBack(fault.get()));
    }
    if (mayRaise(move, seen, now)) {
      return Optional.of(raised(move));
    }
    boolean late = !now.isBefore(move.rollout().deadline());
    return late && !(move.state() instanceof RolloutState.Stuck)
        ? Optional.of(new RolloutState.Stuck(move.state().share(), waitsFor(move, now)))
        : Optional.empty();
  }

  private boolean mayRaise(RolloutProgress move, RolloutEvidence seen, Instant now) {
    if (newEndpoints(move, now) == 0) {
      return false;
    }
    if (move.state().share() == 0) {
      return true;
    }
    return seen.total().failures().total() >= MIN_PAIRS
        && !FaultCheck.isDoubtful(seen, move.rollout().bounds())
        && !now.isBefore(move.recordedAt().plus(stepTime(move)));
  }

  /** Returns how long the step takes, so that the move is over well before its deadline. */
  private static Duration stepTime(RolloutProgress move) {
    int left = 1;
    for (double share = move.state().share(); share < LAST_SHARE; share = nextShare(share)) {
      left++;
    }
    Duration time =
        Duration.between(move.recordedAt(), move.rollout().deadline()).dividedBy(2L * left);
    return time.compareTo(MIN_STEP) > 0 ? time : MIN_STEP;
  }

  private static RolloutState raised(RolloutProgress move) {
    double share = move.state().share();
    if (share == 0) {
      return new RolloutState.Canary(move.rollout().bounds().firstShare());
    }
    return share >= LAST_SHARE
        ? new RolloutState.Done()
        : new RolloutState.Ramping(nextShare(share));
  }

  private static double nextShare(double share) {
    return share < HALF ? Math.min(HALF, share * RAISE_FACTOR) : LAST_SHARE;
  }

  private RolloutEvidence evidence(RolloutProgress move) {
    return seen(move).stream()
        .filter(seen -> seen.report().step() == move.evidenceStep())
        .map(Seen::total)
        .reduce(RolloutEvidence.NONE, RolloutEvidence::plus);
  }

  private int newEndpoints(RolloutProgress move, Instant now) {
    return seen(move).stream()
        .filter(seen -> now.isBefore(seen.heardAt().plus(REPORT_LIFE)))
        .mapToInt(seen -> seen.report().newEndpoints())
        .max()
        .orElse(0);
  }

  private Collection<Seen> seen(RolloutProgress move) {
    return reports.getOrDefault(move.rollout().subject(), Map.of()).values().stream()
        .filter(seen -> seen.report().to().equals(move.rollout().to()))
        .toList();
  }

  private static Seen later(Seen old, Seen news) {
    if (!news.report().to().equals(old.report().to())) {
      return news;
    }
    if (news.incarnation() < old.incarnation() || news.report().step() < old.report().step()) {
      return old;
    }
    if (news.report().step() > old.report().step()) {
      return news;
    }
    if (news.incarnation() > old.incarnation()) {
      return new Seen(news.incarnation(), news.report(), old.total(), news.heardAt());
    }
    return news.report().seen().requests() >= old.report().seen().requests()
        ? new Seen(news.incarnation(), news.report(), old.earlierLives(), news.heardAt())
        : old;
  }
}
