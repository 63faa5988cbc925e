package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.ServiceRollout;

/**
 * Decides the next step of a service's rollout, during which only a bounded number of requests may
 * go to the new version until it is proven.
 *
 * <p>The new version gets the bounded share for most of the time, since a version may start to fail
 * at any moment. If the pairs prove it in the second to last phase, its share is raised by as much
 * as the bound still allows. When the last phase starts, a version that has the raised share and is
 * still proven gets all traffic; any other is rolled back. Stateless and thread safe.
 */
final class ExposurePlan {

  /** Each of the last two phases takes the duration of the rollout divided by this number. */
  private static final int PHASE_DIVISOR = 8;

  /** The maximum duration of one of these phases. */
  private static final Duration MAX_PHASE = Duration.ofSeconds(10);

  /** The maximum share of a version whose rollout is not done. */
  private static final double MAX_RAMP_SHARE = 0.8;

  /**
   * The fraction of the slack that is planned for; the rest covers restarts and delayed messages.
   */
  private static final double PLANNED_SLACK_FRACTION = 0.6;

  /** How long gateways may keep the old share after a new one was decided. */
  private static final Duration PROPAGATION_DELAY = Duration.ofSeconds(1);

  /**
   * The maximum evidence against the new version with which it still counts as proven; 1 is the
   * evidence without any pairs.
   */
  private static final double MAX_EVIDENCE_AGAINST = 1;

  /** The minimum number of pairs of a route that has enough requests to be compared. */
  private static final long MIN_ROUTE_PAIRS = 12;

  /** The number of requests at the old version from which a route has enough to be compared. */
  private static final long MIN_ROUTE_REQUESTS = 40;

  private ExposurePlan() {}

  /**
   * Returns the next state, or empty if the rollout keeps its state.
   *
   * @param evidence all evidence of the rollout
   * @param recent the evidence of the last few seconds
   * @param endpoints how many endpoints of the new version accept requests
   */
  static Optional<RolloutState> next(
      RolloutProgress progress,
      ServiceRollout rollout,
      RolloutEvidence evidence,
      RolloutEvidence recent,
      int endpoints,
      Instant now) {
    Optional<String> fault =
        FaultCheck.findFault(evidence, rollout.bounds())
            .or(() -> FaultCheck.findFault(recent, rollout.bounds()));
    if (fault.isPresent()) {
      return Optional.of(new RolloutState.TakenBack(fault.get()));
    }
    boolean proven = isProven(rollout, evidence, recent);
    return switch (progress.state()) {
      case RolloutState.Starting _ when endpoints > 0 && now.isBefore(completionTime(rollout)) ->
          Optional.of(new RolloutState.Canary(rollout.exposure().share()));
      case RolloutState.Canary _ when proven && isRampTime(rollout, now) ->
          Optional.of(new RolloutState.Ramping(rampShare(progress, rollout, evidence, now)));
      case RolloutState.Ramping _ when proven && !now.isBefore(completionTime(rollout)) ->
          Optional.of(new RolloutState.Done());
      case RolloutState.Starting _, RolloutState.Canary _, RolloutState.Ramping _ ->
          now.isBefore(completionTime(rollout))
              ? Optional.empty()
              : Optional.of(
                  new RolloutState.TakenBack(
                      "not proven in time: "
                          + describeMissingProof(rollout, evidence, recent, endpoints)));
      case RolloutState.Stuck _, RolloutState.Done _, RolloutState.TakenBack _ -> Optional.empty();
    };
  }

  /** Describes, for operators, why the new version is not proven. */
  private static String describeMissingProof(
      ServiceRollout rollout, RolloutEvidence evidence, RolloutEvidence recent, int endpoints) {
    if (endpoints == 0) {
      return "no endpoint of version " + rollout.to() + " takes requests";
    }
    VersionEvidence total = evidence.total();
    return hasEvidenceAgainst(rollout, evidence, recent)
        ? "the evidence leans against version " + rollout.to()
        : "only "
            + total.failures().total()
            + " pairs, of which the new version was worse in "
            + Math.max(total.failures().newWorse(), total.firstTokens().newWorse());
  }

  private static boolean isProven(
      ServiceRollout rollout, RolloutEvidence evidence, RolloutEvidence recent) {
    return FaultCheck.isProven(evidence.total())
        && !hasEvidenceAgainst(rollout, evidence, recent)
        && evidence.byRoute().values().stream().allMatch(ExposurePlan::isSufficientlyCompared);
  }

  private static boolean hasEvidenceAgainst(
      ServiceRollout rollout, RolloutEvidence evidence, RolloutEvidence recent) {
    return FaultCheck.exceedsEvidence(evidence, rollout.bounds(), MAX_EVIDENCE_AGAINST)
        || FaultCheck.isAgainstNew(recent, rollout.bounds());
  }

  private static boolean isSufficientlyCompared(VersionEvidence route) {
    return route.oldRequests() < MIN_ROUTE_REQUESTS || route.failures().total() >= MIN_ROUTE_PAIRS;
  }

  /**
   * Returns the share that uses up the requests left in the bound by the time that gateways apply
   * the next step.
   */
  private static double rampShare(
      RolloutProgress progress, ServiceRollout rollout, RolloutEvidence evidence, Instant now) {
    double requestsPerSecond =
        evidence.attempts() / seconds(Duration.between(progress.recordedAt(), now));
    double maxNewRequests =
        rollout.exposure().share() * requestsPerSecond * seconds(rollout.duration())
            + PLANNED_SLACK_FRACTION * rollout.exposure().slackRequests();
    double remainingNewRequests = maxNewRequests - evidence.total().newRequests();
    double remainingRequests =
        requestsPerSecond
            * seconds(Duration.between(now, completionTime(rollout).plus(PROPAGATION_DELAY)));
    return Math.clamp(
        remainingNewRequests / remainingRequests, rollout.exposure().share(), MAX_RAMP_SHARE);
  }

  /**
   * Returns whether it is time for the larger share: late in the rollout, but early enough to
   * observe the version at that share.
   */
  private static boolean isRampTime(ServiceRollout rollout, Instant now) {
    Instant from = completionTime(rollout).minus(phaseDuration(rollout));
    Instant until = completionTime(rollout).minus(phaseDuration(rollout).dividedBy(3));
    return !now.isBefore(from) && now.isBefore(until);
  }

  private static Instant completionTime(ServiceRollout rollout) {
    return rollout.deadline().minus(phaseDuration(rollout));
  }

  private static Duration phaseDuration(ServiceRollout rollout) {
    Duration phase = rollout.duration().dividedBy(PHASE_DIVISOR);
    return phase.compareTo(MAX_PHASE) < 0 ? phase : MAX_PHASE;
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
