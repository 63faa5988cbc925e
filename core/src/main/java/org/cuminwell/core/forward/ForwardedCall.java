package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.limit.ChargedCall;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.routing.RouteQuery;
import org.jspecify.annotations.Nullable;

/**
 * Follows one forwarded request through its attempts.
 *
 * <p>Invariant: the verdict covers every attempt so far. Not thread safe: the thread of its {@link
 * Forwarder} owns it.
 */
final class ForwardedCall implements ChargedCall {

  private final ForwardRequest head;
  private final ForwardRoute route;
  private final @Nullable Customer customer;
  private final Instant deadline;
  private final Set<EndpointId> attempted = new HashSet<>();
  private Verdict verdict = Verdict.notRun();
  private @Nullable Announcement endpoint;
  private @Nullable Instant sentAt;
  private @Nullable Instant firstByteAt;
  private boolean passed;
  private int attempts;
  private int runs;
  private long toRead;

  ForwardedCall(ForwardRequest head, ForwardRoute route, Optional<Customer> customer) {
    this.head = head;
    this.route = route;
    this.customer = customer.orElse(null);
    Duration allowed =
        head.callerTimeout().filter(p -> p.compareTo(route.timeout()) < 0).orElse(route.timeout());
    this.deadline = head.arrivedAt().plus(allowed);
  }

  @Override
  public RequestId id() {
    return head.id();
  }

  /** Returns the customer; only calls with a key have one. */
  @Override
  public Customer customer() {
    if (customer == null) {
      throw new IllegalStateException("request " + id() + " came without a key");
    }
    return customer;
  }

  Optional<Customer> customerIfAny() {
    return Optional.ofNullable(customer);
  }

  @Override
  public long estimatedTokens() {
    return head.declaredTokens()
        .orElseGet(() -> customerIfAny().map(Customer::tokensPerPlainCall).orElse(0L));
  }

  @Override
  public Instant deadline() {
    return deadline;
  }

  /** A quarter of the latency target is left for the endpoint. */
  @Override
  public Duration maxShareWait() {
    return route.latencyTarget().multipliedBy(3).dividedBy(4);
  }

  ForwardRequest head() {
    return head;
  }

  ForwardRoute route() {
    return route;
  }

  Residency residency() {
    Residency ofRoute = Residency.of(route.boundTo());
    return customerIfAny().map(Residency::of).map(ofRoute::and).orElse(ofRoute);
  }

  /** Returns the service that this request goes to, by the weights of its route. */
  String service() {
    long sum = route.split().stream().mapToLong(ForwardRoute.WeightedService::weight).sum();
    long point = Math.floorMod((long) head.id().hashCode(), sum);
    for (ForwardRoute.WeightedService part : route.split()) {
      point -= part.weight();
      if (point < 0) {
        return part.service();
      }
    }
    throw new IllegalStateException("route " + route.id() + " has no weight");
  }

  RouteQuery query() {
    return new RouteQuery(OptionalLong.empty(), attempted);
  }

  Set<EndpointId> tried() {
    return Set.copyOf(attempted);
  }

  /** Returns whether an engine reads a prompt for this request. */
  boolean isRead() {
    return route.cachesPrompts() && !head.prompt().parts().isEmpty();
  }

  /** Notes the tokens that the engine of the running attempt is expected to read. */
  void reads(long tokens) {
    toRead = tokens;
  }

  /** Returns the tokens that the engine has still to read, once. */
  long takeToRead() {
    long tokens = toRead;
    toRead = 0;
    return tokens;
  }

  /** Notes that the next attempt goes to the endpoint, and returns the number of the attempt. */
  int begin(Announcement target, Instant now) {
    endpoint = target;
    sentAt = now;
    attempted.add(target.endpoint());
    attempts++;
    return attempts;
  }

  /** Returns how long the attempt has been running. */
  Duration attemptRunsFor(Instant now) {
    return sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
  }

  /** Notes that the running attempt has ended, and returns how long it took. */
  Duration attemptTook(Instant now) {
    Duration took = attemptRunsFor(now);
    sentAt = null;
    return took;
  }

  /** Adds the verdict on an attempt that has ended. */
  void judge(Verdict attempt) {
    verdict = verdict.combinedWith(attempt);
    if (!(attempt instanceof Verdict.NotRun)) {
      runs++;
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

  /** Returns how many attempts may have run. */
  int runs() {
    return runs;
  }

  Optional<Announcement> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Notes that an answer goes to the caller from now on. */
  void passAnswer() {
    passed = true;
  }

  boolean isAnswerPassed() {
    return passed;
  }

  void bodyBegan(Instant now) {
    if (firstByteAt == null) {
      firstByteAt = now;
    }
  }

  CallRecord record(Instant now, Optional<Failure> failure) {
    return new CallRecord(
        customerIfAny().map(Customer::id),
        Optional.of(route.id()),
        endpoint().map(Announcement::version),
        attempts,
        Optional.ofNullable(firstByteAt).map(at -> Duration.between(head.arrivedAt(), at)),
        Duration.between(head.arrivedAt(), now),
        new Usage(estimatedTokens(), 0),
        failure);
  }
}
