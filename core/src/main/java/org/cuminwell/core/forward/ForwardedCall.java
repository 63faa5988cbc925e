package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.admission.EngineDemand;
import org.cuminwell.core.admission.WaitingRequest;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.limit.ChargedCall;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RequestPriority;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.routing.RouteQuery;
import org.jspecify.annotations.Nullable;

/**
 * Tracks one forwarded request through its attempts.
 *
 * <p>Invariant: the verdict covers all attempts that have ended. Not thread safe: the thread of its
 * {@link Forwarder} owns it.
 */
final class ForwardedCall implements ChargedCall, WaitingRequest {

  /** The number of shared parts of a prompt that count as traits, a bound on callers' headers. */
  static final int MAX_PART_TRAITS = 32;

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;

  private final ForwardRequest request;
  private final ForwardRoute route;
  private final @Nullable Customer customer;
  private final Instant deadline;
  private final List<Trait> traits;
  private final Set<EndpointId> attempted = new HashSet<>();
  private Verdict verdict = Verdict.notRun();
  private @Nullable Announcement endpoint;
  private @Nullable Instant sentAt;
  private @Nullable Instant firstByteAt;
  private @Nullable Instant attemptBodyStartedAt;
  private boolean responsePassed;
  private boolean success;
  private int attempts;
  private int possibleRuns;
  private long prefillTokens;

  ForwardedCall(
      ForwardRequest request, long contentHash, ForwardRoute route, Optional<Customer> customer) {
    this.request = request;
    this.route = route;
    this.customer = customer.orElse(null);
    Duration allowed =
        request
            .callerTimeout()
            .filter(p -> p.compareTo(route.timeout()) < 0)
            .orElse(route.timeout());
    this.deadline = request.arrivedAt().plus(allowed);
    this.traits = findTraits(contentHash);
  }

  @Override
  public RequestId id() {
    return request.id();
  }

  /**
   * Returns the customer.
   *
   * @throws IllegalStateException if the request runs without a customer, on an anonymous route
   */
  @Override
  public Customer customer() {
    if (customer == null) {
      throw new IllegalStateException("request " + id() + " has no customer");
    }
    return customer;
  }

  Optional<Customer> customerIfAny() {
    return Optional.ofNullable(customer);
  }

  @Override
  public long estimatedTokens() {
    return request
        .declaredTokens()
        .orElseGet(() -> customerIfAny().map(Customer::tokensPerPlainCall).orElse(0L));
  }

  @Override
  public Instant deadline() {
    return deadline;
  }

  /** Returns three quarters of the latency target, which leaves a quarter for the endpoint. */
  @Override
  public Duration maxShareWait() {
    return route.latencyTarget().multipliedBy(3).dividedBy(4);
  }

  @Override
  public Optional<CustomerId> customerId() {
    return customerIfAny().map(Customer::id);
  }

  @Override
  public EngineDemand demand() {
    return new EngineDemand(service(), residency(), route.rank());
  }

  /**
   * Returns half of the latency target after the arrival, which leaves a half for the endpoint, or
   * the deadline if that is sooner.
   */
  @Override
  public Instant startBy() {
    Instant latest = request.arrivedAt().plus(route.latencyTarget().dividedBy(2));
    return deadline.isBefore(latest) ? deadline : latest;
  }

  ForwardRequest request() {
    return request;
  }

  ForwardRoute route() {
    return route;
  }

  @Override
  public RequestPriority priority() {
    return RequestPriority.of(customerIfAny(), route);
  }

  /** Returns the regions that both the route and the customer allow. */
  Residency residency() {
    Residency ofRoute = Residency.of(route.boundTo());
    return customerIfAny().map(Residency::of).map(ofRoute::and).orElse(ofRoute);
  }

  /**
   * Returns the service that this request is sent to: a hash of its ID picks one of the route's
   * services by weight, so every attempt goes to the same service.
   */
  String service() {
    long sum = route.split().stream().mapToLong(ForwardRoute.WeightedService::weight).sum();
    long point = Math.floorMod((long) request.id().hashCode(), sum);
    for (ForwardRoute.WeightedService part : route.split()) {
      point -= part.weight();
      if (point < 0) {
        return part.service();
      }
    }
    throw new IllegalStateException(
        "route " + route.id() + " has no service with a positive weight");
  }

  RouteQuery routeQuery() {
    return new RouteQuery(OptionalLong.empty(), attempted);
  }

  /** Returns the traits of the request that could crash an endpoint. */
  List<Trait> traits() {
    return traits;
  }

  /** Returns the endpoints of all attempts so far. */
  Set<EndpointId> attempted() {
    return Set.copyOf(attempted);
  }

  /** Returns whether the request has a prompt that an engine prefills and caches. */
  boolean needsPrefill() {
    return route.cachesPrompts() && !request.prompt().parts().isEmpty();
  }

  /** Sets the tokens that the engine of the running attempt is expected to prefill. */
  void setPrefillTokens(long tokens) {
    prefillTokens = tokens;
  }

  /**
   * Returns the tokens that the engine has still to prefill and resets them to zero, so that they
   * are subtracted from its load only once.
   */
  long consumePrefillTokens() {
    long tokens = prefillTokens;
    prefillTokens = 0;
    return tokens;
  }

  /** Starts the next attempt, at the given endpoint, and returns its number. */
  int startAttempt(Announcement target, Instant now) {
    endpoint = target;
    sentAt = now;
    attemptBodyStartedAt = null;
    attempted.add(target.endpoint());
    attempts++;
    return attempts;
  }

  /** Returns how long the running attempt has taken so far, or zero if none runs. */
  Duration attemptElapsed(Instant now) {
    return sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
  }

  /**
   * Returns how long the body of the attempt's response has been arriving; empty if it has not
   * started.
   */
  Optional<Duration> attemptResponding(Instant now) {
    return Optional.ofNullable(attemptBodyStartedAt).map(at -> Duration.between(at, now));
  }

  /** Ends the running attempt and returns how long it took. */
  Duration endAttempt(Instant now) {
    Duration took = attemptElapsed(now);
    sentAt = null;
    return took;
  }

  /** Combines the verdict on an attempt that has ended with the verdict so far. */
  void addVerdict(Verdict attempt) {
    verdict = verdict.combinedWith(attempt);
    if (!(attempt instanceof Verdict.NotRun)) {
      possibleRuns++;
    }
  }

  Verdict verdict() {
    return verdict;
  }

  boolean isAttempting() {
    return sentAt != null;
  }

  int attempts() {
    return attempts;
  }

  /** Returns how many of the attempts that have ended may have run. */
  int possibleRuns() {
    return possibleRuns;
  }

  /** Returns the endpoint of the last attempt. */
  Optional<Announcement> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Records the status of the running attempt's response. */
  void recordStatus(int status) {
    success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /** Returns whether the last status that was recorded is one of success. */
  boolean isSuccess() {
    return success;
  }

  /** Records that a response is passed to the caller from now on. */
  void markResponsePassed() {
    responsePassed = true;
  }

  boolean isResponsePassed() {
    return responsePassed;
  }

  /** Records that a part of the running attempt's response body has arrived. */
  void recordBodyPart(Instant now) {
    if (firstByteAt == null) {
      firstByteAt = now;
    }
    if (attemptBodyStartedAt == null) {
      attemptBodyStartedAt = now;
    }
  }

  /** Returns the traits, which are few however many parts the prompt has. */
  private List<Trait> findTraits(long contentHash) {
    String service = service();
    Set<Trait> found = new LinkedHashSet<>();
    found.add(
        Trait.ofContent(
            service,
            customerIfAny().map(Customer::id),
            request.host() + request.path(),
            request.prompt().parts(),
            contentHash));
    request.prompt().parts().stream()
        .limit(Math.min(request.prompt().sharedPartCount(), MAX_PART_TRAITS))
        .forEach(part -> found.add(Trait.ofSharedPart(service, part)));
    return List.copyOf(found);
  }

  CallRecord toCallRecord(Instant now, Optional<Failure> failure) {
    return new CallRecord(
        customerIfAny().map(Customer::id),
        Optional.of(route.id()),
        endpoint().map(Announcement::version),
        attempts,
        Optional.ofNullable(firstByteAt).map(at -> Duration.between(request.arrivedAt(), at)),
        Duration.between(request.arrivedAt(), now),
        new Usage(estimatedTokens(), 0),
        failure);
  }
}
