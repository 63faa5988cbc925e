package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.retry.RetryBudget;

/**
 * Decides whether a request is retried after an attempt without a complete response.
 *
 * <p>Invariants: a request that may run only once is retried only after attempts that have
 * certainly not run; no request runs at more endpoints than its route allows; retries that reach an
 * endpoint stay within this gateway's part of the retry budget of the service, over all of its
 * processes. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class ForwardRetries {

  /** The largest number of attempts of one request, whatever their verdicts. */
  static final int MAX_ATTEMPTS = ForwardBounds.MAX_ATTEMPTS;

  /** The first-byte timeout, in multiples of the route's latency target. */
  private static final int FIRST_BYTE_TIMEOUT_TARGETS = 3;

  /**
   * The fraction of the configured retry limits that gateways use, since they do not know each
   * other's retries.
   */
  private static final double BUDGET_FRACTION = 0.7;

  private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofSeconds(1);

  private final ForwardBounds bounds;
  private final HostDirectory directory;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  ForwardRetries(ForwardBounds bounds, HostDirectory directory) {
    this.bounds = bounds;
    this.directory = directory;
  }

  /** Records the first attempt of a request, which adds to the retry budget of its service. */
  void recordFirstAttempt(ForwardedCall call) {
    budget(call).recordFirstAttempt();
  }

  /**
   * Returns whether another attempt may follow one with the verdict {@code last}, regardless of the
   * retry budget.
   */
  boolean isAllowed(ForwardedCall call, Verdict last, Instant now) {
    boolean repeatable =
        last instanceof Verdict.NotRun || call.route().retrySemantics().allowsRetry();
    int unjudgedRuns = call.isAttempting() && !(last instanceof Verdict.NotRun) ? 1 : 0;
    return repeatable
        && call.attempts() < MAX_ATTEMPTS
        && call.possibleRuns() + unjudgedRuns < call.route().maxAttempts()
        && now.isBefore(call.deadline());
  }

  /** Returns whether another attempt may follow and the retry budget allows it now. */
  boolean isRetryAvailable(ForwardedCall call, Verdict last, Instant now) {
    return isAllowed(call, last, now) && budget(call).hasAvailable();
  }

  /**
   * Returns whether another attempt may follow the one that failed so. It is taken from the budget
   * unless the failed attempt did not reach an endpoint, since then the next is the first that
   * does.
   */
  boolean tryRetry(ForwardedCall call, Failure last, Instant now) {
    return isAllowed(call, last.verdict(), now)
        && (!reachedEndpoint(last) || budget(call).trySpend());
  }

  private static boolean reachedEndpoint(Failure failure) {
    return !(failure.verdict() instanceof Verdict.NotRun) || failure.code() == ErrorCode.BUSY;
  }

  /** Returns how long to wait for the first byte of a response if another attempt could follow. */
  static Duration firstByteTimeout(ForwardedCall call) {
    Duration targets = call.route().latencyTarget().multipliedBy(FIRST_BYTE_TIMEOUT_TARGETS);
    return targets.compareTo(MIN_FIRST_BYTE_TIMEOUT) > 0 ? targets : MIN_FIRST_BYTE_TIMEOUT;
  }

  /**
   * Returns the budget of the request's service. It starts without a balance, so that a gateway
   * that is started again has no retry that its earlier process may have used already.
   */
  private RetryBudget budget(ForwardedCall call) {
    int gateways = Math.max(1, directory.mostKnown());
    double maxBalance = Math.max(1, bounds.retryBurst() * BUDGET_FRACTION / gateways);
    RetryBudget budget =
        budgets.computeIfAbsent(
            call.service(),
            _ -> RetryBudget.empty(bounds.retryRatio() * BUDGET_FRACTION, maxBalance));
    budget.setMaxBalance(maxBalance);
    return budget;
  }
}
