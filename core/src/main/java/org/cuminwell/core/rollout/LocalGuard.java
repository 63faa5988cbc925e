package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.model.VersionRollout;

/**
 * Keeps one gateway's traffic to the new version of a rollout within the recorded share.
 *
 * <p>Invariants: the new version gets no more than the share of the tokens that this gateway has
 * processed, so that all gateways together keep to the share whatever their number; the share grows
 * only by a later recorded step; once the gateway's own evidence shows a fault, it sends nothing
 * more to the new version during this rollout, unless the rollout is recorded as done. Not thread
 * safe: one thread owns it.
 */
final class LocalGuard {

  /**
   * The time without a message from control after which the share counts as zero, so that a version
   * that was rolled back gets nothing from gateways that did not receive that step.
   */
  static final Duration SHARE_LEASE = Duration.ofMillis(1_500);

  /**
   * The maximum credit, in requests of the largest recent size, in addition to what the last
   * request earned.
   */
  private static final double MAX_EXTRA_CREDIT_REQUESTS = 2;

  /**
   * The share at which earnings are capped; at a share of 1 no request goes to the old version and
   * earns.
   */
  private static final double MAX_EARNING_SHARE = 0.99;

  /** The factor by which the largest recent estimate decays with each request. */
  private static final double LARGEST_DECAY = 0.99;

  private final Map<RouteId, PairedResults> results = new HashMap<>();
  private final Map<RouteId, Long> newSent = new HashMap<>();
  private RolloutProgress progress;
  private Instant updatedAt;
  private double creditTokens;
  private double largestTokens;
  private boolean stopped;

  LocalGuard(RolloutProgress progress, Instant now) {
    this.progress = progress;
    this.updatedAt = now;
  }

  VersionRollout rollout() {
    return progress.rollout();
  }

  RolloutProgress progress() {
    return progress;
  }

  boolean hasStopped() {
    return stopped;
  }

  RolloutEvidence evidence() {
    Map<RouteId, VersionEvidence> evidence = new HashMap<>();
    results.forEach((route, pairs) -> evidence.put(route, pairs.evidence()));
    return new RolloutEvidence(evidence);
  }

  /**
   * Updates the recorded state and renews the share; a step earlier than the current one is
   * ignored.
   */
  void update(RolloutProgress recorded, Instant now) {
    if (recorded.step() < progress.step()) {
      return;
    }
    updatedAt = now;
    if (recorded.step() > progress.step()) {
      progress = recorded;
      startStep();
    }
  }

  private void startStep() {
    if (progress.evidenceStep() == progress.step()) {
      creditTokens = Math.min(creditTokens, 0);
      results.values().forEach(PairedResults::startStep);
      newSent.clear();
    }
  }

  /** Returns the share that this gateway may give to the new version now. */
  double allowedShare(Instant now) {
    RolloutState state = progress.state();
    if (state.isFinal()) {
      return state.share();
    }
    if (stopped) {
      return 0;
    }
    return now.isBefore(updatedAt.plus(SHARE_LEASE)) ? state.share() : 0;
  }

  /**
   * Returns whether a request may go to the new version.
   *
   * <p>The credit must cover the largest recent request, so that both versions get requests of the
   * same sizes; it must cover two of them if another route has had fewer requests at the new
   * version, so that evidence comes from all routes.
   *
   * @param estimatedTokens the estimated tokens of the request
   */
  boolean admitsNew(RouteId route, long estimatedTokens, Instant now) {
    largestTokens = Math.max((double) estimatedTokens, largestTokens * LARGEST_DECAY);
    double share = allowedShare(now);
    if (share >= 1) {
      return true;
    }
    return share > 0 && creditTokens >= largestTokens * (hasFewestRequests(route) ? 1 : 2);
  }

  /** Returns whether no other route has had fewer requests at the new version during this step. */
  private boolean hasFewestRequests(RouteId route) {
    long count = newSent.merge(route, 0L, Long::sum);
    return newSent.values().stream().allMatch(other -> count <= other);
  }

  /** Charges the credit with a request that is sent to the new version. */
  void recordSent(RouteId route, VersionId version, long estimatedTokens) {
    if (isNew(version)) {
      creditTokens -= estimatedTokens;
      newSent.merge(route, 1L, Long::sum);
    }
  }

  /** Settles a request that has ended, which may have used fewer or more tokens than estimated. */
  void settle(VersionId version, long estimatedTokens, long usedTokens, Instant now) {
    largestTokens = Math.max(largestTokens, (double) usedTokens);
    double share = Math.min(earningShare(now), MAX_EARNING_SHARE);
    double earnedFraction = share / (1 - share);
    creditTokens += isNew(version) ? estimatedTokens - usedTokens : usedTokens * earnedFraction;
    creditTokens =
        Math.min(creditTokens, (MAX_EXTRA_CREDIT_REQUESTS + earnedFraction) * largestTokens);
  }

  /**
   * Returns the share by which requests earn credit. A service earns from the start of its rollout,
   * since its bound holds over the whole rollout.
   */
  private double earningShare(Instant now) {
    return switch (rollout()) {
      case ServiceRollout rollout when progress.state() instanceof RolloutState.Starting ->
          rollout.exposure().share();
      case ServiceRollout _, RouteRollout _ -> allowedShare(now);
    };
  }

  /** Records the result of a request as evidence. */
  void recordResult(RouteId route, VersionId version, RequestResult result, Instant now) {
    resultsOf(route).add(isNew(version), result, now);
    stopIfFaulty();
  }

  /** Records the time to the first token of a request as evidence. */
  void recordFirstToken(RouteId route, VersionId version, Duration time, Instant now) {
    resultsOf(route).addFirstToken(isNew(version), time, now);
    stopIfFaulty();
  }

  /** Records the time between tokens of a request as evidence. */
  void recordTokenGap(RouteId route, VersionId version, Duration time, Instant now) {
    resultsOf(route).addTokenGap(isNew(version), time, now);
    stopIfFaulty();
  }

  /** Records the end of a request as evidence. */
  void recordEnd(RouteId route, VersionId version, boolean failed, Instant now) {
    resultsOf(route).addEnd(isNew(version), failed, now);
    stopIfFaulty();
  }

  /** Returns whether a first token that has not arrived after {@code waited} is slow. */
  boolean isFirstTokenSlow(RouteId route, Duration waited) {
    return resultsOf(route).isFirstTokenSlow(waited);
  }

  /** Stops sending to the new version if the evidence shows a fault. */
  private void stopIfFaulty() {
    if (!stopped
        && !progress.state().isFinal()
        && FaultCheck.findFault(evidence(), rollout().bounds()).isPresent()) {
      stopped = true;
    }
  }

  private PairedResults resultsOf(RouteId route) {
    return results.computeIfAbsent(route, _ -> new PairedResults(rollout().bounds().maxSlowdown()));
  }

  boolean isNew(VersionId version) {
    return version.equals(rollout().to());
  }
}
