package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.ServiceRollout;

/**
 * Decides the next step of a service's move, of which only a bounded number of requests may reach
 * the new version until it is proven.
 *
 * <p>The new version gets the bounded share until little of the time is left, since a version may
 * turn bad at any moment. If the pairs have proven it by then, its share grows by what the bound
 * has left, and then it gets everything. A version that is not proven by the deadline is taken
 * back. Stateless and thread safe.
 */
final class ExposurePlan {

  /** The part of the move's time that each of the last two phases takes. */
  private static final int PHASES = 8;

  /** The longest time of such a phase. */
  private static final Duration LONGEST_PHASE = Duration.ofSeconds(10);

  /** The greatest share of a version that is not done. */
  private static final double MOST_SHARE = 0.8;

  /** The part of the slack that is planned for; the rest covers restarts and late news. */
  private static final double PLANNED_SLACK = 0.6;

  /** How long gateways may go on at a share after another was decided. */
  private static final Duration SETTLE = Duration.ofSeconds(1);

  /** How strong evidence against the new version may be at the end of a move. */
  private static final double MOST_DOUBT = 1;

  /** How many pairs a route needs that gets enough requests. */
  private static final long ROUTE_PAIRS = 12;

  /** How many requests at the old version make a route one that must be compared. */
  private static final long ROUTE_REQUESTS = 40;

  private ExposurePlan() {}

  /**
   * Returns the next state, if the move is not to stay as it is.
   *
   * @param seen everything seen during the move
   * @param recent what was seen of it lately
   * @param endpoints how many endpoints of the new version take requests
   */
  static Optional<RolloutState> next(
      RolloutProgress move,
      ServiceRollout rollout,
      RolloutEvidence seen,
      RolloutEvidence recent,
      int endpoints,
      Instant now) {
    Optional<String> fault =
        FaultCheck.fault(seen, rollout.bounds())
            .or(() -> FaultCheck.fault(recent, rollout.bounds()));
    if (fault.isPresent()) {
      return Optional.of(new RolloutState.TakenBack(fault.get()));
    }
    boolean proven = isProven(rollout, seen, recent);
    return switch (move.state()) {
      case RolloutState.Starting _ when endpoints > 0 && now.isBefore(doneAt(rollout)) ->
          Optional.of(new RolloutState.Canary(rollout.exposure().share()));
      case RolloutState.Canary _ when proven && isRampTime(rollout, now) ->
          Optional.of(new RolloutState.Ramping(rampShare(move, rollout, seen, now)));
      case RolloutState.Ramping _ when proven && !now.isBefore(doneAt(rollout)) ->
          Optional.of(new RolloutState.Done());
      case RolloutState.Starting _, RolloutState.Canary _, RolloutState.Ramping _ ->
          now.isBefore(doneAt(rollout))
              ? Optional.empty()
              : Optional.of(
                  new RolloutState.TakenBack(
                      "not proven in time: " + lacks(rollout, seen, recent, endpoints)));
      case RolloutState.Stuck _, RolloutState.Done _, RolloutState.TakenBack _ -> Optional.empty();
    };
  }

  /** Returns in words what the move lacks. */
  private static String lacks(
      ServiceRollout rollout, RolloutEvidence seen, RolloutEvidence recent, int endpoints) {
    if (endpoints == 0) {
      return "no endpoint of version " + rollout.to() + " takes requests";
    }
    VersionEvidence total = seen.total();
    return isDoubtful(rollout, seen, recent)
        ? "the evidence leans against version " + rollout.to()
        : "only "
            + total.failures().total()
            + " pairs, of which the new version was worse in "
            + Math.max(total.failures().newWorse(), total.firstTokens().newWorse());
  }

  private static boolean isProven(
      ServiceRollout rollout, RolloutEvidence seen, RolloutEvidence recent) {
    return FaultCheck.isProven(seen.total())
        && !isDoubtful(rollout, seen, recent)
        && seen.byRoute().values().stream().allMatch(ExposurePlan::isCompared);
  }

  private static boolean isDoubtful(
      ServiceRollout rollout, RolloutEvidence seen, RolloutEvidence recent) {
    return FaultCheck.leansAgainst(seen, rollout.bounds(), MOST_DOUBT)
        || FaultCheck.isDoubtful(recent, rollout.bounds());
  }

  private static boolean isCompared(VersionEvidence route) {
    return route.oldRequests() < ROUTE_REQUESTS || route.failures().total() >= ROUTE_PAIRS;
  }

  /** Returns the share that uses up what the bound has left while the larger share lasts. */
  private static double rampShare(
      RolloutProgress move, ServiceRollout rollout, RolloutEvidence seen, Instant now) {
    double perSecond = seen.requests() / seconds(Duration.between(move.recordedAt(), now));
    double bound =
        rollout.exposure().share() * perSecond * seconds(rollout.duration())
            + PLANNED_SLACK * rollout.exposure().slackRequests();
    double left = bound - seen.total().newRequests();
    double ahead = perSecond * seconds(Duration.between(now, doneAt(rollout).plus(SETTLE)));
    return Math.clamp(left / ahead, rollout.exposure().share(), MOST_SHARE);
  }

  /** Returns whether little time is left, but enough to see the version at the larger share. */
  private static boolean isRampTime(ServiceRollout rollout, Instant now) {
    Instant from = doneAt(rollout).minus(phase(rollout));
    Instant until = doneAt(rollout).minus(phase(rollout).dividedBy(3));
    return !now.isBefore(from) && now.isBefore(until);
  }

  private static Instant doneAt(ServiceRollout rollout) {
    return rollout.deadline().minus(phase(rollout));
  }

  private static Duration phase(ServiceRollout rollout) {
    Duration part = rollout.duration().dividedBy(PHASES);
    return part.compareTo(LONGEST_PHASE) < 0 ? part : LONGEST_PHASE;
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
