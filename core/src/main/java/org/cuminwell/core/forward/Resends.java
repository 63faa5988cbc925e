package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.retry.RetryBudget;

/**
 * Decides whether a request is sent once more after an attempt that gave no whole answer.
 *
 * <p>Invariants: a request that may run once follows only attempts that have certainly not run; no
 * request runs at more endpoints than its route allows; what is sent again stays within this
 * gateway's part of the service's budget. Not thread safe: the thread of its {@link Forwarder} owns
 * it.
 */
final class Resends {

  /** How often one request is sent at most, whatever became of it. */
  static final int MAX_SENDS = 4;

  /** How many latency targets an attempt may take before another follows it. */
  private static final int PATIENCE_TARGETS = 3;

  /** The part of the bounds that is used, since gateways do not know each other's retries. */
  private static final double BUDGET_PART = 0.7;

  private static final Duration LEAST_PATIENCE = Duration.ofSeconds(1);

  private final ForwardBounds bounds;
  private final HostDirectory directory;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  Resends(ForwardBounds bounds, HostDirectory directory) {
    this.bounds = bounds;
    this.directory = directory;
  }

  /** Counts the first sending of a request. */
  void firstSent(ForwardedCall call) {
    budget(call).recordFirstAttempt();
  }

  /** Returns whether another attempt is allowed, whatever the budget, if one ends as given. */
  boolean isAllowed(ForwardedCall call, Verdict last, Instant now) {
    boolean harmless =
        last instanceof Verdict.NotRun || call.route().retrySemantics().allowsRetry();
    int runs = call.isAttempting() && !(last instanceof Verdict.NotRun) ? 1 : 0;
    return harmless
        && call.attempts() < MAX_SENDS
        && call.runs() + runs < call.route().maxAttempts()
        && now.isBefore(call.deadline());
  }

  /** Returns whether another attempt could follow as things stand. */
  boolean couldFollow(ForwardedCall call, Verdict last, Instant now) {
    return isAllowed(call, last, now) && budget(call).hasAvailable();
  }

  /** Returns whether another attempt follows, and spends it. */
  boolean spend(ForwardedCall call, Verdict last, Instant now) {
    return isAllowed(call, last, now) && budget(call).trySpend();
  }

  /** Returns how long an attempt may show no byte of an answer if another could follow. */
  static Duration patience(ForwardedCall call) {
    Duration targets = call.route().latencyTarget().multipliedBy(PATIENCE_TARGETS);
    return targets.compareTo(LEAST_PATIENCE) > 0 ? targets : LEAST_PATIENCE;
  }

  private RetryBudget budget(ForwardedCall call) {
    return budgets.computeIfAbsent(
        call.service(),
        _ -> {
          double gateways = Math.max(1, directory.all().size());
          return new RetryBudget(
              bounds.retryRatio() * BUDGET_PART,
              Math.max(1, bounds.retryBurst() * BUDGET_PART / gateways));
        });
  }
}
