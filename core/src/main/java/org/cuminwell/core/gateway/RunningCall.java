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
 * Follows one admitted request through its attempts.
 *
 * <p>Not thread safe: the gateway's decide thread owns it.
 */
final class RunningCall implements ChargedCall {

  /** A slow pace of generation. */
  private static final Duration TIME_PER_TOKEN = Duration.ofMillis(100);

  private final CallHead head;
  private final Instant openedAt;
  private final Customer customer;
  private final Set<EndpointId> attempted = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Announcement endpoint;
  private @Nullable Instant firstByteAt;
  private Optional<IdempotentCall> idempotent = Optional.empty();
  private @Nullable CallOutcome kept;
  private @Nullable Instant sentAt;
  private OptionalLong prefix = OptionalLong.empty();
  private Verdict verdict = Verdict.notRun();
  private long estimate;
  private Duration untilFirstByte = Duration.ZERO;
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

  void resolve(Route resolved, long estimatedTokens) {
    route = resolved;
    estimate = estimatedTokens;
  }

  @Override
  public long estimatedTokens() {
    return estimate;
  }

  @Override
  public Instant deadline() {
    return openedAt.plus(route().timeout());
  }

  int attempts() {
    return attempts;
  }

  /** Notes what the body of a completion says. */
  void describe(CallBody.Completion body) {
    prefix = OptionalLong.of(body.prefixHash());
    untilFirstByte =
        body.stream() ? Duration.ZERO : TIME_PER_TOKEN.multipliedBy(body.maxCompletionTokens());
  }

  /** Returns how long the endpoint may work before the first byte of its answer. */
  Duration untilFirstByte() {
    return untilFirstByte;
  }

  RouteQuery query() {
    return new RouteQuery(prefix, attempted);
  }

  /** Notes that the next attempt goes to the endpoint, and returns the number of the attempt. */
  int begin(Announcement target, Instant now) {
    endpoint = target;
    sentAt = now;
    attempted.add(target.endpoint());
    attempts++;
    return attempts;
  }

  /** Notes that the running attempt has ended, and returns how long it took. */
  Duration attemptTook(Instant now) {
    Duration took = sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
    sentAt = null;
    return took;
  }

  /**
   * Returns the failure with the verdict on all attempts so far: if an earlier one may have run, so
   * may the request.
   */
  Failure withVerdictOfAll(Failure failure) {
    verdict = verdict.combinedWith(failure.verdict());
    return failure.withVerdict(verdict);
  }

  /** Returns whether an attempt is running, whose end will be reported. */
  boolean isAttempting() {
    return sentAt != null;
  }

  Optional<Announcement> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  void answerBegan(Instant now) {
    if (firstByteAt == null) {
      firstByteAt = now;
    }
  }

  boolean hasAnswerBegun() {
    return firstByteAt != null;
  }

  /** Notes the caller's Idempotency-Key. */
  void idempotent(Optional<IdempotentCall> call) {
    idempotent = call;
  }

  Optional<IdempotentCall> idempotent() {
    return idempotent;
  }

  /** Keeps the answer of the attempt that is under way, for resends. */
  void keep(CallOutcome callOutcome) {
    kept = callOutcome;
  }

  /**
   * Returns what resends are told once the call has completed.
   *
   * <p>Control hosts stand in every region, so the body of a bound call's answer is not kept there.
   */
  CallOutcome completed() {
    if (kept == null) {
      return new CallOutcome.AnswerLost();
    }
    boolean bound = Residency.of(customer, route()).allowedRegions().isPresent();
    return bound && kept instanceof CallOutcome.Answered answered ? answered.withoutBody() : kept;
  }

  boolean isCompletion() {
    return switch (head.target()) {
      case CallHead.Target.Completion c -> true;
      case CallHead.Target.Plain p -> false;
    };
  }

  /** Returns whether running the request twice does no harm. */
  boolean isIdempotent() {
    return switch (head.target()) {
      case CallHead.Target.Completion c -> true;
      case CallHead.Target.Plain p ->
          route().service() instanceof Service.Plain plain
              && plain.idempotentMethods().contains(p.method());
    };
  }

  /** Describes the request while it is open. */
  OpenRequest open(Instant now) {
    return new OpenRequest(
        id().value(), Duration.between(openedAt, now), attempts, hasAnswerBegun());
  }

  CallRecord record(Instant now, Usage usage, Optional<Failure> failure) {
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
