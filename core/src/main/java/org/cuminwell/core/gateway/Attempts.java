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
 * Plans the attempts of requests: where each goes and whether another follows a failed one.
 *
 * <p>Invariant: every attempt that begins is counted at its endpoint until it ends. Not thread
 * safe: the gateway's decide thread owns it.
 */
final class Attempts {

  private final Router router;
  private final RetryPolicy policy = RetryPolicy.DEFAULT;
  private final RetryBudget budget = new RetryBudget();

  Attempts(Place here, SplittableRandom random) {
    this.router = new Router(here, random);
  }

  /**
   * Begins the next attempt of the request, or returns empty if no endpoint can take it.
   *
   * @param serving the endpoints that may get new work of the route
   * @param version keeps the endpoints of the one version that the request may go to
   */
  Optional<SendToEndpoint> begin(
      RunningCall call, List<Entry> serving, UnaryOperator<List<Entry>> version, Instant now) {
    Residency residency = Residency.of(call.customer(), call.route());
    List<Entry> candidates =
        serving.stream()
            .filter(entry -> residency.allows(entry.announcement().place().region()))
            .toList();
    RouteQuery query = call.query();
    return router
        .choose(version.apply(candidates), query, now)
        .map(entry -> begin(call, query, entry, now));
  }

  private SendToEndpoint begin(RunningCall call, RouteQuery query, Entry entry, Instant now) {
    var target = entry.announcement();
    Duration untilDeadline = Duration.between(now, call.deadline());
    Duration expectedWait = router.expectedWait(entry, now);
    int attempt = call.begin(target, now);
    if (attempt == 1) {
      budget.recordFirstAttempt();
    }
    router.recordSent(target.endpoint(), query, now);
    boolean another =
        call.isCompletion()
            && budget.hasAvailable()
            && allowsAnother(call, Verdict.mayHaveRun(), now);
    return new SendToEndpoint(
        call.id(),
        attempt,
        target.endpoint(),
        target.address(),
        untilDeadline,
        policy.firstByteTimeout(another, expectedWait, call.untilFirstByte(), untilDeadline));
  }

  /** Takes in how the running attempt of the request has ended. */
  void ended(RunningCall call, AttemptOutcome end, Instant now) {
    Duration took = call.attemptTook(now);
    boolean blamed = blamesEndpoint(end);
    call.endpoint().ifPresent(target -> router.recordEnded(target.endpoint(), took, blamed, now));
  }

  /** Returns whether another attempt follows, and spends it. */
  boolean tryAgain(RunningCall call, Failure failure, Instant now) {
    return allowsAnother(call, failure.verdict(), now) && budget.trySpend();
  }

  /** Forgets what is not needed any more; to be called now and then. */
  void tick(Instant now) {
    router.evictIdle(now);
  }

  private boolean allowsAnother(RunningCall call, Verdict verdict, Instant now) {
    return policy.allowsRetry(
        call.attempts(), verdict, call.isIdempotent(), call.hasAnswerBegun(), call.deadline(), now);
  }

  private static boolean blamesEndpoint(AttemptOutcome end) {
    return switch (end) {
      case AttemptOutcome.Completed e -> false;
      case AttemptOutcome.CallerDisconnected e -> false;
      case AttemptOutcome.Failed e -> e.failure().code() != ErrorCode.BUSY;
    };
  }
}
