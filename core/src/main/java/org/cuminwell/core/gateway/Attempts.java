package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.retry.RetryBudget;
import org.cuminwell.core.retry.RetryPolicy;
import org.cuminwell.core.routing.RouteQuery;
import org.cuminwell.core.routing.Router;

/**
 * Plans the attempts of requests: which endpoint each goes to and whether a failed one is retried.
 *
 * <p>Invariant: the router counts every attempt at its endpoint from its start to its end. Not
 * thread safe: the gateway's decide thread owns it.
 */
final class Attempts {

  private final Router router;
  private final RetryPolicy policy = RetryPolicy.DEFAULT;
  private final RetryBudget budget = new RetryBudget();

  Attempts(Place localPlace, SplittableRandom random) {
    this.router = new Router(localPlace, random);
  }

  /**
   * Starts the next attempt of the request, or returns empty if no endpoint can accept it.
   *
   * @param serving the endpoints that may get new requests of the route
   * @param versionFilter selects the endpoints of the one version that the request may go to
   */
  Optional<SendToEndpoint> startNext(
      RunningCall call,
      List<Entry> serving,
      UnaryOperator<List<Entry>> versionFilter,
      Instant now) {
    Residency residency = Residency.of(call.customer(), call.route());
    List<Entry> candidates =
        serving.stream()
            .filter(entry -> residency.allows(entry.announcement().place().region()))
            .toList();
    RouteQuery query = call.query();
    return router
        .choose(versionFilter.apply(candidates), query, now)
        .map(entry -> startAt(call, query, entry, now));
  }

  private SendToEndpoint startAt(RunningCall call, RouteQuery query, Entry entry, Instant now) {
    var target = entry.announcement();
    Duration untilDeadline = Duration.between(now, call.deadline());
    Duration expectedWait = router.expectedWait(entry, now);
    int attempt = call.recordAttemptStarted(target, now);
    if (attempt == 1) {
      budget.recordFirstAttempt();
    }
    router.recordSent(target.endpoint(), query, now);
    boolean canRetry =
        call.isCompletion()
            && budget.hasAvailable()
            && allowsRetry(call, Verdict.mayHaveRun(), now);
    return new SendToEndpoint(
        call.id(),
        attempt,
        target.endpoint(),
        target.address(),
        untilDeadline,
        policy.firstByteTimeout(
            canRetry, expectedWait, call.expectedTimeToFirstByte(), untilDeadline));
  }

  /** Records how the running attempt of the request has ended. */
  void recordEnded(RunningCall call, AttemptOutcome outcome, Instant now) {
    Duration duration = call.recordAttemptEnded(now);
    boolean blamed = blamesEndpoint(outcome);
    call.endpoint()
        .ifPresent(target -> router.recordEnded(target.endpoint(), duration, blamed, now));
  }

  /** Returns whether the failed attempt is retried, and if so spends one retry of the budget. */
  boolean trySpendRetry(RunningCall call, Failure failure, Instant now) {
    return allowsRetry(call, failure.verdict(), now) && budget.trySpend();
  }

  /** Removes state of idle endpoints; to be called regularly. */
  void evictIdle(Instant now) {
    router.evictIdle(now);
  }

  private boolean allowsRetry(RunningCall call, Verdict verdict, Instant now) {
    return policy.allowsRetry(
        call.attempts(),
        verdict,
        call.isIdempotent(),
        call.hasResponseStarted(),
        call.deadline(),
        now);
  }

  private static boolean blamesEndpoint(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.Completed e -> false;
      case AttemptOutcome.CallerDisconnected e -> false;
      case AttemptOutcome.Failed e -> e.failure().code() != ErrorCode.BUSY;
    };
  }
}
