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
 * Keeps one gateway's part of a version rollout within the recorded share.
 *
 * <p>Invariants: the new version gets no more than the share of the tokens that this gateway has
 * answered, so that all gateways together keep to it whatever their number; the share grows only by
 * a later recorded step; once the gateway's own evidence shows a fault it sends the new version
 * nothing more during this move, unless the move is recorded as done. Not thread safe: one thread
 * owns it.
 */
final class LocalGuard {

  /**
   * After this time without news from control the share counts as zero, so that a version which was
   * taken back gets nothing from gateways that could not hear of it.
   */
  static final Duration GRANT_LEASE = Duration.ofMillis(1_500);

  /** How many of the largest recent requests may be saved up beside what the last one earned. */
  private static final double MAX_CREDIT_REQUESTS = 2;

  /** The greatest share by which requests at the old version earn; at 1 there are none. */
  private static final double MAX_EARNING_SHARE = 0.99;

  /** What is left of the largest recent estimate with each further request. */
  private static final double LARGEST_DECAY = 0.99;

  private final Map<RouteId, PairedResults> results = new HashMap<>();
  private final Map<RouteId, Long> newSent = new HashMap<>();
  private RolloutProgress progress;
  private Instant heardAt;
  private double creditTokens;
  private double largestTokens;
  private boolean cut;

  LocalGuard(RolloutProgress progress, Instant now) {
    this.progress = progress;
    this.heardAt = now;
  }

  VersionRollout rollout() {
    return progress.rollout();
  }

  RolloutProgress progress() {
    return progress;
  }

  boolean isCut() {
    return cut;
  }

  RolloutEvidence seen() {
    Map<RouteId, VersionEvidence> seen = new HashMap<>();
    results.forEach((route, pairs) -> seen.put(route, pairs.seen()));
    return new RolloutEvidence(seen);
  }

  /** Takes in the recorded state; an earlier step than the one held counts as no news. */
  void hear(RolloutProgress news, Instant now) {
    if (news.step() < progress.step()) {
      return;
    }
    heardAt = now;
    if (news.step() > progress.step()) {
      progress = news;
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

  /** Returns the share that this gateway allows now. */
  double share(Instant now) {
    RolloutState state = progress.state();
    if (state.isFinal()) {
      return state.share();
    }
    if (cut) {
      return 0;
    }
    return now.isBefore(heardAt.plus(GRANT_LEASE)) ? state.share() : 0;
  }

  /**
   * Returns whether the new version may take a request of this estimate, in tokens.
   *
   * <p>Enough must be saved up for the largest recent request, so that both versions get requests
   * of the same sizes; and for two of them if another route has had fewer, so that evidence comes
   * from all routes.
   */
  boolean admitsNew(RouteId route, long tokens, Instant now) {
    largestTokens = Math.max((double) tokens, largestTokens * LARGEST_DECAY);
    double share = share(now);
    if (share >= 1) {
      return true;
    }
    return share > 0 && creditTokens >= largestTokens * (isBehind(route) ? 1 : 2);
  }

  /** Returns whether no route has had fewer requests at the new version during this step. */
  private boolean isBehind(RouteId route) {
    long own = newSent.merge(route, 0L, Long::sum);
    return newSent.values().stream().allMatch(other -> own <= other);
  }

  /** Charges a request that goes to the new version. */
  void sent(RouteId route, VersionId version, long tokens) {
    if (isNew(version)) {
      creditTokens -= tokens;
      newSent.merge(route, 1L, Long::sum);
    }
  }

  /** Settles a request that has ended, whether it used less or more than its estimate. */
  void settle(VersionId version, long estimate, long used, Instant now) {
    largestTokens = Math.max(largestTokens, (double) used);
    double share = Math.min(earningShare(now), MAX_EARNING_SHARE);
    double earned = share / (1 - share);
    creditTokens += isNew(version) ? estimate - used : used * earned;
    creditTokens = Math.min(creditTokens, (MAX_CREDIT_REQUESTS + earned) * largestTokens);
  }

  /** A service earns from the order on, since its bound is over the whole move. */
  private double earningShare(Instant now) {
    return switch (rollout()) {
      case ServiceRollout rollout when progress.state() instanceof RolloutState.Starting ->
          rollout.exposure().share();
      case ServiceRollout _, RouteRollout _ -> share(now);
    };
  }

  /** Takes the result of a request as evidence. */
  void compare(RouteId route, VersionId version, RequestResult result, Instant now) {
    pairs(route).add(isNew(version), result, now);
    judge();
  }

  /** Takes the time to the first token of a request as evidence. */
  void compareFirstToken(RouteId route, VersionId version, Duration time, Instant now) {
    pairs(route).addFirstToken(isNew(version), time, now);
    judge();
  }

  /** Takes the time between tokens of a request as evidence. */
  void compareTokenGap(RouteId route, VersionId version, Duration time, Instant now) {
    pairs(route).addTokenGap(isNew(version), time, now);
    judge();
  }

  /** Takes as evidence that a request has ended. */
  void compareEnd(RouteId route, VersionId version, boolean failed, Instant now) {
    pairs(route).addEnd(isNew(version), failed, now);
    judge();
  }

  /** Returns whether a first token that took at least this long is slow. */
  boolean isSlow(RouteId route, Duration waited) {
    return pairs(route).isSlow(waited);
  }

  /** Stops sending to the new version once a fault shows. */
  private void judge() {
    if (!cut
        && !progress.state().isFinal()
        && FaultCheck.fault(seen(), rollout().bounds()).isPresent()) {
      cut = true;
    }
  }

  private PairedResults pairs(RouteId route) {
    return results.computeIfAbsent(route, _ -> new PairedResults(rollout().bounds().maxSlowdown()));
  }

  boolean isNew(VersionId version) {
    return version.equals(rollout().to());
  }
}
