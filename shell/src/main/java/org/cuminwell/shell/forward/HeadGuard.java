package org.cuminwell.shell.forward;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.overload.DelaySource;
import org.cuminwell.core.overload.HeadDecision;
import org.cuminwell.core.overload.OverloadGuard;
import org.cuminwell.core.overload.OverloadLogEvent;
import org.cuminwell.core.overload.PeriodicRun;
import org.cuminwell.core.overload.RequestHead;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.jspecify.annotations.Nullable;

/**
 * Measures the load of the event loop and refuses requests on their heads as {@link OverloadGuard}
 * decides.
 *
 * <p>Without load a request costs no look-up. {@link #configure} and {@link #start} are thread
 * safe; all else is confined to the event loop of the exchanges.
 */
public final class HeadGuard {

  private static final Duration PERIOD = Duration.ofMillis(25);

  private final EventLoop loop;
  private final InstantSource time;
  private final ForwardDialect dialect;
  private final Supplier<Duration> decidingDelay;
  private final Observer observer;
  private final OverloadGuard guard;
  private PeriodicRun probe;
  private volatile @Nullable ConfigurationIndex configuration;

  /** Receives what the guard does, in the event loop, which no method may block. */
  public interface Observer {

    /** Reports a request that was refused on its head. */
    void onRefused(CallRecord callRecord, RequestHead head);

    /** Reports that load is shed from now on, or no longer. */
    void onChange(OverloadLogEvent event);
  }

  /**
   * Creates a guard that refuses nothing until it is configured and started.
   *
   * @param decidingDelay returns how long events wait for the deciding thread; must be thread safe
   */
  public HeadGuard(
      HttpEventLoops loops,
      InstantSource time,
      ForwardDialect dialect,
      Supplier<Duration> decidingDelay,
      Observer observer) {
    this.loop = loops.exchangeLoop();
    this.time = time;
    this.dialect = dialect;
    this.decidingDelay = decidingDelay;
    this.observer = observer;
    Instant now = time.instant();
    this.guard = new OverloadGuard(now);
    this.probe = new PeriodicRun(PERIOD, now);
  }

  /** Uses the routes and customers of a configuration from now on. */
  public void configure(ConfigurationIndex index) {
    configuration = index;
    Optional<Duration> shortestTarget =
        index.configuration().forwarding().routes().values().stream()
            .map(HeadGuard::targetOf)
            .min(Comparator.naturalOrder());
    if (shortestTarget.isPresent() && !loop.isShuttingDown()) {
      loop.execute(() -> guard.setShortestTarget(shortestTarget.get()));
    }
  }

  /** Starts to measure, until the event loop shuts down. */
  public void start() {
    if (!loop.isShuttingDown()) {
      loop.execute(
          () -> {
            probe = new PeriodicRun(PERIOD, time.instant());
            scheduleRun();
          });
    }
  }

  /**
   * Returns the response to a request that is refused on its head; empty if it is to be handled.
   *
   * @param message reads the request without its body
   */
  Optional<ResponseMessage> refusal(Supplier<RequestMessage> message) {
    Instant now = time.instant();
    Duration delay = probe.delay(now);
    guard.recordDelay(DelaySource.READING, delay, now);
    advance(now);
    ConfigurationIndex index = configuration;
    if (!guard.isShedding() || index == null) {
      guard.recordPassed(now);
      return Optional.empty();
    }
    Optional<Candidate> candidate = candidate(message.get(), index, now);
    if (candidate.isEmpty()) {
      guard.recordPassed(now);
      return Optional.empty();
    }
    return switch (guard.decide(candidate.get().head(), delay, now)) {
      case HeadDecision.Admitted _ -> Optional.empty();
      case HeadDecision.Refused refused -> Optional.of(refuse(candidate.get(), refused));
    };
  }

  /** Records how a request that was handled has ended. */
  void recordEnded(CallRecord call) {
    boolean lackedRoom =
        call.failure()
            .filter(failure -> failure.verdict() instanceof Verdict.NotRun)
            .map(Failure::code)
            .filter(code -> code == ErrorCode.BUSY || code == ErrorCode.NO_ENDPOINT)
            .isPresent();
    call.route().ifPresent(route -> guard.recordEnded(route, lackedRoom, time.instant()));
  }

  /** Holds a request that may be refused. Immutable. */
  private record Candidate(ForwardRequest request, RequestHead head) {}

  /** Returns the place of a request in the order; empty if it is refused for its content anyway. */
  private Optional<Candidate> candidate(
      RequestMessage message, ConfigurationIndex index, Instant now) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    ForwardRequest request;
    try {
      request = dialect.parseRequest(id, message, now);
    } catch (IllegalArgumentException e) {
      // Handled, so that it is answered as malformed.
      return Optional.empty();
    }
    return index
        .forwardRoute(request.host(), request.path())
        .map(route -> new Candidate(request, headOf(request, route, index)));
  }

  private static RequestHead headOf(
      ForwardRequest request, ForwardRoute route, ConfigurationIndex index) {
    Optional<Customer> customer =
        route.anonymous() ? Optional.empty() : request.key().flatMap(index::customerByKey);
    int unnamedRank = route.anonymous() ? 0 : RequestHead.UNKNOWN_RANK;
    String id =
        request.callerRequestId().isEmpty() ? request.id().value() : request.callerRequestId();
    return new RequestHead(
        id.hashCode(),
        customer.map(Customer::id),
        route.id(),
        customer.map(Customer::rank).orElse(unnamedRank),
        route.rank(),
        targetOf(route),
        route.timeout(),
        timeLeft(request, route));
  }

  /** Returns how long the caller waits, but no longer than the route allows. */
  private static Duration timeLeft(ForwardRequest request, ForwardRoute route) {
    return request
        .callerTimeout()
        .filter(stated -> stated.compareTo(route.timeout()) < 0)
        .orElse(route.timeout());
  }

  /** Returns the latency target of a route, or its timeout if it has none. */
  private static Duration targetOf(ForwardRoute route) {
    return route.latencyTarget().isPositive() ? route.latencyTarget() : route.timeout();
  }

  private ResponseMessage refuse(Candidate candidate, HeadDecision.Refused refused) {
    Failure failure =
        Failure.notRunRetryAfter(
            ErrorCode.GATEWAY_BUSY,
            "this host is at capacity; retry later or at another host",
            refused.retryAfter());
    CallRecord callRecord =
        new CallRecord(
            candidate.head().customer(),
            Optional.of(candidate.head().route()),
            Optional.empty(),
            0,
            Optional.empty(),
            Duration.ZERO,
            Usage.NONE,
            Optional.of(failure));
    observer.onRefused(callRecord, candidate.head());
    return dialect.failureResponse(Optional.of(candidate.request()), failure);
  }

  private void scheduleRun() {
    if (!loop.isShuttingDown()) {
      var _ = loop.schedule(this::run, PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void run() {
    Instant now = time.instant();
    guard.recordDelay(DelaySource.READING, probe.delay(now), now);
    guard.recordDelay(DelaySource.DECIDING, decidingDelay.get(), now);
    probe.recordRun(now);
    advance(now);
    scheduleRun();
  }

  private void advance(Instant now) {
    guard.advance(now).ifPresent(observer::onChange);
  }
}
