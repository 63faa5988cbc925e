package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.model.VersionId;

/**
 * Keeps one gateway's part of a version move within the recorded share.
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

  private final PairedResults results;
  private RolloutProgress progress;
  private Instant heardAt;
  private double creditTokens;
  private double largestTokens;
  private boolean cut;

  LocalGuard(RolloutProgress progress, Instant now) {
    this.progress = progress;
    this.heardAt = now;
    this.results = new PairedResults(progress.rollout().bounds().maxSlowdown());
  }

  Rollout rollout() {
    return progress.rollout();
  }

  RolloutProgress progress() {
    return progress;
  }

  boolean isCut() {
    return cut;
  }

  VersionEvidence seen() {
    return results.seen();
  }

  /** Takes in the recorded state; an earlier step than the one held counts as no news. */
  void hear(RolloutProgress news, Instant now) {
    if (news.step() < progress.step()) {
      return;
    }
    heardAt = now;
    if (news.step() > progress.step()) {
      progress = news;
      creditTokens = Math.min(creditTokens, 0);
      results.startStep();
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
   * of the same sizes.
   */
  boolean admitsNew(long tokens, Instant now) {
    largestTokens = Math.max((double) tokens, largestTokens * LARGEST_DECAY);
    double share = share(now);
    if (share >= 1) {
      return true;
    }
    return share > 0 && creditTokens >= largestTokens;
  }

  /** Charges a request that goes to the new version. */
  void sent(VersionId version, long tokens) {
    if (isNew(version)) {
      creditTokens -= tokens;
    }
  }

  /** Settles a request that has ended, whether it used less or more than its estimate. */
  void settle(VersionId version, long estimate, long used, Instant now) {
    largestTokens = Math.max(largestTokens, (double) used);
    double share = Math.min(share(now), MAX_EARNING_SHARE);
    double earned = share / (1 - share);
    creditTokens += isNew(version) ? estimate - used : used * earned;
    creditTokens = Math.min(creditTokens, (MAX_CREDIT_REQUESTS + earned) * largestTokens);
  }

  /** Takes the result of a request as evidence. */
  void compare(VersionId version, RequestResult result, Instant now) {
    results.add(isNew(version), result, now);
    if (!cut
        && !progress.state().isFinal()
        && FaultCheck.fault(results.seen(), rollout().bounds()).isPresent()) {
      cut = true;
    }
  }

  boolean isNew(VersionId version) {
    return version.equals(rollout().to());
  }
}
