package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.forward.OpenRequest;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.IdempotentCall;
import org.cuminwell.core.limit.ChargedCall;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.routing.RouteQuery;
import org.jspecify.annotations.Nullable;

/**
 * Holds the state of one request from its head to the end of its last attempt.
 *
 * <p>Not thread safe: the gateway's decide thread owns it.
 */
final class RunningCall implements ChargedCall {

  /** The assumed generation time per token, that of a slow endpoint. */
  private static final Duration SLOW_TIME_PER_TOKEN = Duration.ofMillis(100);

  private final CallHead head;
  private final Instant openedAt;
  private final Customer customer;
  private final Set<EndpointId> attempted = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Announcement endpoint;
  private @Nullable Instant firstByteAt;
  private Optional<IdempotentCall> idempotentCall = Optional.empty();
  private @Nullable CallOutcome outcome;
  private @Nullable Instant sentAt;
  private OptionalLong prefixHash = OptionalLong.empty();
  private Verdict verdict = Verdict.notRun();
  private long estimatedTokens;
  private Duration expectedTimeToFirstByte = Duration.ZERO;
  private int attempts;

  RunningCall(CallHead head, Customer customer, Instant openedAt) {
    this.head = head;
    this.customer = customer;
    this.openedAt = openedAt;
  }

  @Override
  public RequestId id() {
    return head.id();
  }

  CallHead head() {
    return head;
  }

  @Override
  public Customer customer() {
    return customer;
  }

  Route route() {
    if (route == null) {
      throw new IllegalStateException("request " + id() + " has no route yet");
    }
    return route;
  }

  void setRoute(Route newRoute, long newEstimatedTokens) {
    route = newRoute;
    estimatedTokens = newEstimatedTokens;
  }

  @Override
  public long estimatedTokens() {
    return estimatedTokens;
  }

  @Override
  public Instant deadline() {
    return openedAt.plus(route().timeout());
  }

  int attempts() {
    return attempts;
  }

  /** Records the properties of the body of a completion request. */
  void setCompletionBody(CallBody.Completion body) {
    prefixHash = OptionalLong.of(body.prefixHash());
    expectedTimeToFirstByte =
        body.stream()
            ? Duration.ZERO
            : SLOW_TIME_PER_TOKEN.multipliedBy(body.maxCompletionTokens());
  }

  /**
   * Returns the expected time from sending to the first byte of the response at a slow endpoint.
   */
  Duration expectedTimeToFirstByte() {
    return expectedTimeToFirstByte;
  }

  RouteQuery query() {
    return new RouteQuery(prefixHash, attempted);
  }

  /**
   * Records that the next attempt is sent to the endpoint, and returns the number of the attempt.
   */
  int recordAttemptStarted(Announcement target, Instant now) {
    endpoint = target;
    sentAt = now;
    attempted.add(target.endpoint());
    attempts++;
    return attempts;
  }

  /** Records that the running attempt has ended, and returns its duration. */
  Duration recordAttemptEnded(Instant now) {
    Duration duration = sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
    sentAt = null;
    return duration;
  }

  /**
   * Returns the failure with the combined verdict of all attempts so far: if an earlier one may
   * have run, the request may have run.
   */
  Failure withCombinedVerdict(Failure failure) {
    verdict = verdict.combinedWith(failure.verdict());
    return failure.withVerdict(verdict);
  }

  /** Returns whether an attempt is running, whose end will be reported. */
  boolean isAttemptRunning() {
    return sentAt != null;
  }

  Optional<Announcement> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  void recordResponseStarted(Instant now) {
    if (firstByteAt == null) {
      firstByteAt = now;
    }
  }

  boolean hasResponseStarted() {
    return firstByteAt != null;
  }

  /** Records the caller's Idempotency-Key and the fingerprint of the call. */
  void setIdempotentCall(Optional<IdempotentCall> call) {
    idempotentCall = call;
  }

  Optional<IdempotentCall> idempotentCall() {
    return idempotentCall;
  }

  /** Records the outcome of the running attempt, which repeated calls with the same key receive. */
  void setOutcome(CallOutcome newOutcome) {
    outcome = newOutcome;
  }

  /**
   * Returns the outcome that repeated calls with the same key receive once this call has completed.
   *
   * <p>Control hosts in every region store the outcome, so the response body of a call with
   * residency is left out.
   */
  CallOutcome outcomeForReplay() {
    if (outcome == null) {
      return new CallOutcome.AnswerLost();
    }
    boolean hasResidency = Residency.of(customer, route()).allowedRegions().isPresent();
    return hasResidency && outcome instanceof CallOutcome.Answered answered
        ? answered.withoutBody()
        : outcome;
  }

  boolean isCompletion() {
    return switch (head.target()) {
      case CallHead.Target.Completion c -> true;
      case CallHead.Target.Plain p -> false;
    };
  }

  /** Returns whether the request may run more than once without harm. */
  boolean isIdempotent() {
    return switch (head.target()) {
      case CallHead.Target.Completion c -> true;
      case CallHead.Target.Plain p ->
          route().service() instanceof Service.Plain plain
              && plain.idempotentMethods().contains(p.method());
    };
  }

  /** Returns a description of the open request for the log of a stop. */
  OpenRequest toOpenRequest(Instant now) {
    return new OpenRequest(
        id().value(), Duration.between(openedAt, now), attempts, hasResponseStarted());
  }

  CallRecord toCallRecord(Instant now, Usage usage, Optional<Failure> failure) {
    return new CallRecord(
        Optional.of(customer.id()),
        Optional.ofNullable(route).map(Route::id),
        endpoint().map(Announcement::version),
        attempts,
        Optional.ofNullable(firstByteAt).map(at -> Duration.between(openedAt, at)),
        Duration.between(openedAt, now),
        usage,
        failure);
  }
}
