package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.admission.EngineDemand;
import org.cuminwell.core.admission.EngineQueue;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.duty.UsageCounter;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.limit.Admission;
import org.cuminwell.core.limit.LimitRefusal;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.limit.ShareWaitQueue;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.routing.LoadSharing;
import org.jspecify.annotations.Nullable;

/**
 * Decides how requests are forwarded unchanged to endpoints: admission, choice of the endpoint,
 * retries and the end of each request.
 *
 * <p>Invariants: every request that was received ends in exactly one {@link ForwardAction.Ended},
 * unless it is refused at once; a request that may run only once is retried only if it has
 * certainly not run; a request is refused as not run only if no attempt may have run. Not thread
 * safe: one thread owns it.
 */
public final class Forwarder {

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int OK = 200;

  /** The age reported for a configuration that was never confirmed as the latest. */
  private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

  private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofMillis(1_500);

  private static final Failure DEADLINE_EXCEEDED =
      Failure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the request exceeded its deadline");

  private static final Failure CALLER_DISCONNECTED =
      Failure.mayHaveRun(ErrorCode.CALL_DROPPED, "the caller disconnected");

  private static final Failure ENDPOINT_SILENT =
      Failure.mayHaveRun(
          ErrorCode.ENDPOINT_FAILED, "the endpoint has sent nothing for a while; another is tried");

  private final EndpointTable endpoints;
  private final EndpointSelector endpointSelector;
  private final VersionRouter versionRouter;
  private final ForwardRetries retries;
  private final CrashWatch crashWatch;
  private final Map<RequestId, ForwardedCall> calls = new HashMap<>();
  private final ShareWaitQueue<ForwardedCall> shareWaitQueue = new ShareWaitQueue<>();
  private final EngineQueue<ForwardedCall> engineQueue = new EngineQueue<>();
  private final RequestAcceptance acceptance;
  private final StartedRequests startedRequests;
  private final List<EndpointIncarnation> observedDepartures = new ArrayList<>();

  /** Creates the forwarder of a gateway at {@code localPlace} that counts no started requests. */
  public Forwarder(
      Place localPlace,
      EndpointTable endpoints,
      HostDirectory directory,
      CrashEvidence crashes,
      ForwardBounds bounds,
      SplittableRandom random) {
    this(localPlace, endpoints, directory, crashes, bounds, Optional.empty(), random);
  }

  /**
   * Creates the forwarder of a gateway at {@code localPlace}; {@code random} is used to select
   * endpoints.
   *
   * @param crashes the evidence on which requests crash endpoints
   * @param usage counts the requests that began to run; empty if they need not be counted
   */
  public Forwarder(
      Place localPlace,
      EndpointTable endpoints,
      HostDirectory directory,
      CrashEvidence crashes,
      ForwardBounds bounds,
      Optional<UsageCounter> usage,
      SplittableRandom random) {
    this.startedRequests = new StartedRequests(usage);
    this.acceptance = new RequestAcceptance(bounds.keyLease());
    this.endpoints = endpoints;
    this.retries = new ForwardRetries(bounds, directory);
    this.crashWatch = new CrashWatch(endpoints, crashes);
    this.versionRouter = new VersionRouter(endpoints);
    this.endpointSelector =
        new EndpointSelector(localPlace, endpoints, directory, versionRouter, random);
  }

  /** Returns the exchange of loads with the other gateways of the region. */
  public LoadSharing loadSharing() {
    return endpointSelector.loadSharing();
  }

  /**
   * Holds the state of the gateway that decisions depend on.
   *
   * @param configuration the configuration in force on this gateway
   * @param currentAsOf every change committed before this time is in force on this gateway
   * @param limits this gateway's shares of the customers' limits
   * @param acceptance which new requests are accepted
   */
  public record Context(
      ConfigurationIndex configuration,
      Instant currentAsOf,
      ShareHolder limits,
      AcceptancePolicy acceptance) {

    Forwarding forwarding() {
      return configuration.configuration().forwarding();
    }

    Revision revision() {
      return configuration.configuration().revision();
    }

    /** Returns the time since the configuration was last confirmed as the latest. */
    Duration age(Instant now) {
      return currentAsOf.equals(Instant.MIN) ? UNKNOWN_AGE : Duration.between(currentAsOf, now);
    }
  }

  /** Handles an event and returns the resulting actions, in order. */
  public List<ForwardAction> handle(ForwardEvent event, Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    endpointSelector.configure(context.forwarding(), now);
    versionRouter.configure(context.forwarding(), context.currentAsOf(), now);
    switch (event) {
      case ForwardEvent.RequestReceived e -> onRequestReceived(e, context, now, actions);
      case ForwardEvent.ResponseHeadReceived e -> onResponseHead(e, context, now, actions);
      case ForwardEvent.EndpointLeaving e -> onEndpointLeaving(e, now, actions);
      case ForwardEvent.BodyStarted e -> {
        ForwardedCall call = calls.get(e.id());
        if (call != null) {
          call.recordBodyPart(now);
          if (call.isAttempting()) {
            crashWatch.recordResponse(call, now);
          }
          endpointSelector.recordPrefillCompleted(call, now);
          versionRouter.recordBodyStarted(call, now);
          startedRequests.record(call, now);
        }
      }
      case ForwardEvent.EventGapMeasured e -> {
        ForwardedCall call = findRunningAttempt(e.id(), e.attempt());
        if (call != null) {
          call.recordBodyPart(now);
          crashWatch.recordResponse(call, now);
          endpointSelector.recordEventGap(call, e.meanGap(), now);
          versionRouter.recordEventGap(call, e.meanGap(), now);
        }
      }
      case ForwardEvent.EndpointSilent e -> onEndpointSilent(e, context, now, actions);
      case ForwardEvent.AttemptEnded e -> onAttemptEnded(e, context, now, actions);
      case ForwardEvent.CallerDisconnected e -> onCallerDisconnected(e.id(), context, now, actions);
    }
    if (mayFreeEngine(event)) {
      startWaiting(context, now, actions);
    }
    return actions;
  }

  /** Returns whether a waiting request may start after the event; others can wait for a tick. */
  private static boolean mayFreeEngine(ForwardEvent event) {
    return switch (event) {
      case ForwardEvent.RequestReceived e -> true;
      case ForwardEvent.ResponseHeadReceived e -> true;
      case ForwardEvent.BodyStarted e -> true;
      case ForwardEvent.AttemptEnded e -> true;
      case ForwardEvent.CallerDisconnected e -> true;
      case ForwardEvent.EventGapMeasured e -> false;
      case ForwardEvent.EndpointSilent e -> false;
      case ForwardEvent.EndpointLeaving e -> false;
    };
  }

  /**
   * Ends overdue requests, retries those that wait for a limit share, and returns the resulting
   * actions.
   */
  public List<ForwardAction> tick(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    endpointSelector.configure(context.forwarding(), now);
    versionRouter.configure(context.forwarding(), context.currentAsOf(), now);
    endpointSelector.evictStale(now);
    acceptance.retainRoutes(context.forwarding().routes().keySet());
    versionRouter.tick(now);
    crashWatch.tick(now);
    cancelSuspended(context, now, actions);
    retryShareWaiters(context, now, actions);
    startWaiting(context, now, actions);
    List.copyOf(calls.values()).stream()
        .filter(call -> !now.isBefore(call.deadline()))
        .forEach(call -> cancelAndFail(call, DEADLINE_EXCEEDED, context, now, actions));
    return actions;
  }

  /** Cancels attempts that would crash their endpoints as soon as these begin to respond. */
  private void cancelSuspended(Context context, Instant now, List<ForwardAction> actions) {
    if (crashWatch.hasNoSuspensions()) {
      return;
    }
    for (ForwardedCall call : List.copyOf(calls.values())) {
      crashWatch
          .findSuspensionOfAttempt(call, now)
          .ifPresent(failure -> cancelAndFail(call, failure, context, now, actions));
    }
  }

  /** Retries the admission of the requests that wait for a share of a limit. */
  public List<ForwardAction> onSharesChanged(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    retryShareWaiters(context, now, actions);
    startWaiting(context, now, actions);
    return actions;
  }

  /** Ends every open request, since this host stops. */
  public List<ForwardAction> abortAll(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    Failure stopping =
        RequestAcceptance.notRunRetrySoon(
            ErrorCode.STOPPING, "this host has stopped; retry at another host");
    List.copyOf(calls.values())
        .forEach(call -> cancelAndFail(call, stopping, context, now, actions));
    return actions;
  }

  /** Describes the open requests. */
  public List<OpenRequest> listOpenRequests(Instant now) {
    return calls.values().stream()
        .map(
            call ->
                new OpenRequest(
                    call.request().callerRequestId(),
                    Duration.between(call.request().arrivedAt(), now),
                    call.attempts(),
                    call.isResponsePassed()))
        .toList();
  }

  /** Returns how many requests are open. */
  public int openRequestCount() {
    return calls.size();
  }

  /** Returns the report on versions for the control hosts, if one is due. */
  public Optional<RolloutMessage.Report> versionReport(HostId self, Instant now) {
    return versionRouter.createReportIfDue(
        self, entry -> endpointSelector.isInSlowStart(entry, now), now);
  }

  /** Answers a request for the counts of started requests; empty if they are not counted. */
  public Optional<UsageMessage.Counts> usageCounts(UsageMessage.Request request, Instant now) {
    return startedRequests.answer(request, now);
  }

  /** Returns the endpoints that have said in a response that they leave, since the last call. */
  public List<EndpointIncarnation> takeObservedDepartures() {
    List<EndpointIncarnation> result = List.copyOf(observedDepartures);
    observedDepartures.clear();
    return result;
  }

  /** Returns whether no request is open. */
  public boolean isIdle() {
    return calls.isEmpty();
  }

  /** Returns whether the configuration in force is recent enough to accept its keys. */
  public boolean isKeyLeaseValid(Instant currentAsOf, Instant now) {
    return acceptance.isKeyLeaseValid(currentAsOf, now);
  }

  private void onRequestReceived(
      ForwardEvent.RequestReceived event,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    ForwardRequest request = event.request();
    Optional<ForwardRoute> route =
        context.configuration().forwardRoute(request.host(), request.path());
    Optional<Customer> customer = request.key().flatMap(context.configuration()::customerByKey);
    Optional<Failure> refusal = acceptance.findRefusal(request, route, customer, context, now);
    if (refusal.isPresent()) {
      actions.add(new ForwardAction.Refuse(request.id(), refusal.get()));
      actions.add(ForwardLogEvents.refused(request, route, customer, refusal, context, now));
      return;
    }
    ForwardedCall call =
        new ForwardedCall(
            request,
            event.contentHash(),
            route.orElseThrow(),
            customer.filter(_ -> !route.orElseThrow().anonymous()));
    calls.put(call.id(), call);
    admit(call, context, now, actions);
  }

  /**
   * Charges the limit of the customer and starts the first attempt, waits for a share or refuses.
   */
  private void admit(
      ForwardedCall call, Context context, Instant now, List<ForwardAction> actions) {
    if (call.customerIfAny().isEmpty()) {
      startAttempt(call, context, now, actions);
      return;
    }
    Admission admission = context.limits().admit(call.customer(), call.estimatedTokens(), now);
    if (admission instanceof Admission.ShareShort && shareWaitQueue.offer(call, now)) {
      return;
    }
    Optional<Failure> refusal = LimitRefusal.of(admission, call.estimatedTokens());
    if (refusal.isPresent()) {
      refuse(call, refusal.get(), context, now, actions);
    } else {
      startAttempt(call, context, now, actions);
    }
  }

  private void retryShareWaiters(Context context, Instant now, List<ForwardAction> actions) {
    ShareWaitQueue.Result<ForwardedCall> result = shareWaitQueue.retry(context.limits(), now);
    result
        .refused()
        .forEach(refused -> refuse(refused.call(), refused.failure(), context, now, actions));
    result.admitted().forEach(call -> startAttempt(call, context, now, actions));
  }

  /** Selects an endpoint and sends the request to it, or fails the request if there is none. */
  private void startAttempt(
      ForwardedCall call, Context context, Instant now, List<ForwardAction> actions) {
    Optional<Failure> suspension = crashWatch.findSuspension(call, now);
    if (suspension.isPresent()) {
      fail(call, suspension.get(), context, now, actions);
      return;
    }
    if (call.needsPrefill() && call.attempts() == 0 && engineQueue.isQueuedBefore(call)) {
      tryQueue(call, now).ifPresent(after -> refuseBusy(call, after, context, now, actions));
      return;
    }
    switch (endpointSelector.choose(call, context.forwarding(), now)) {
      case EndpointSelector.Decision.Send d -> send(call, d.target(), now, actions);
      case EndpointSelector.Decision.Busy d -> waitOrRefuse(call, d, context, now, actions);
      case EndpointSelector.Decision.NoEndpoint d -> {
        Failure none =
            RequestAcceptance.notRunRetrySoon(
                ErrorCode.NO_ENDPOINT, "no endpoint is available for the request; retry later");
        fail(call, none, context, now, actions);
      }
    }
  }

  /** Queues a request for which no engine has headroom, or refuses it if it can't wait. */
  private void waitOrRefuse(
      ForwardedCall call,
      EndpointSelector.Decision.Busy busy,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    if (busy.maySoonBeFree() && call.attempts() == 0) {
      tryQueue(call, now).ifPresent(after -> refuseBusy(call, after, context, now, actions));
    } else {
      refuseBusy(call, busy.retryAfter(), context, now, actions);
    }
  }

  /** Queues the request, or returns when it should be sent again if it can't start in time. */
  private Optional<Duration> tryQueue(ForwardedCall call, Instant now) {
    return switch (engineQueue.offer(call, now)) {
      case EngineQueue.Offer.Queued o -> Optional.empty();
      case EngineQueue.Offer.Refused o -> Optional.of(o.retryAfter());
    };
  }

  private void refuseBusy(
      ForwardedCall call,
      Duration retryAfter,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    String message = "no engine has free prefill capacity; retry later";
    fail(
        call, Failure.notRunRetryAfter(ErrorCode.BUSY, message, retryAfter), context, now, actions);
  }

  /**
   * Starts the waiting requests for which an engine has headroom now, in their order, and refuses
   * those that can no longer start in time.
   */
  private void startWaiting(Context context, Instant now, List<ForwardAction> actions) {
    if (engineQueue.size() == 0) {
      return;
    }
    for (ForwardedCall call : engineQueue.takeLate(now)) {
      refuseBusy(call, engineQueue.retryAfter(call.id()), context, now, actions);
    }
    Set<EngineDemand> unmet = new HashSet<>();
    for (ForwardedCall call : engineQueue.inOrder(now)) {
      if (!unmet.contains(call.demand())) {
        startIfPossible(call, unmet, context, now, actions);
      }
    }
  }

  /** Starts a waiting request, or adds its demand to those for which no engine has headroom. */
  private void startIfPossible(
      ForwardedCall call,
      Set<EngineDemand> unmet,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    Optional<Failure> suspension = crashWatch.findSuspension(call, now);
    if (suspension.isPresent()) {
      fail(call, suspension.get(), context, now, actions);
      return;
    }
    switch (endpointSelector.choose(call, context.forwarding(), now)) {
      case EndpointSelector.Decision.Send d -> {
        engineQueue.recordStarted(call, now);
        send(call, d.target(), now, actions);
      }
      case EndpointSelector.Decision.Busy d -> unmet.add(call.demand());
      case EndpointSelector.Decision.NoEndpoint d -> unmet.add(call.demand());
    }
  }

  private void send(
      ForwardedCall call,
      EndpointSelector.Target target,
      Instant now,
      List<ForwardAction> actions) {
    Announcement endpoint = target.announcement();
    int attempt = call.startAttempt(endpoint, now);
    if (attempt == 1) {
      retries.recordFirstAttempt(call);
    }
    endpointSelector.recordSent(call, target, now);
    versionRouter.recordSent(call, endpoint, now);
    actions.add(ForwardLogEvents.sent(call, target, now));
    Duration timeLeft = Duration.between(now, call.deadline());
    actions.add(
        new ForwardAction.Send(
            call.id(),
            attempt,
            endpoint.endpoint(),
            endpoint.incarnation(),
            endpoint.address(),
            target.relay(),
            timeLeft,
            call.route().retrySemantics().allowsRetry()
                ? min(ForwardRetries.firstByteTimeout(call), timeLeft)
                : timeLeft,
            STREAM_IDLE_TIMEOUT,
            call.customerIfAny().map(Customer::id),
            call.isResponsePassed(),
            call.route().retrySemantics().isStream(),
            isResumable(call),
            call.route().retrySemantics().allowsRetry(),
            call.priority()));
  }

  /** Sends nothing more to the endpoint, also where nobody else has heard that it leaves. */
  private void onEndpointLeaving(
      ForwardEvent.EndpointLeaving event, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = findRunningAttempt(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    EndpointIncarnation endpoint = call.endpoint().orElseThrow().endpointIncarnation();
    if (!endpoints.isLeaving(endpoint)) {
      endpoints.markLeaving(endpoint.endpoint(), endpoint.incarnation(), now);
      observedDepartures.add(endpoint);
      actions.add(ForwardLogEvents.endpointLeaving(call, endpoint));
    }
  }

  private void onResponseHead(
      ForwardEvent.ResponseHeadReceived event,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    ForwardedCall call = findRunningAttempt(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    crashWatch.recordResponse(call, now);
    endpointSelector.recordReached(call.endpoint().orElseThrow(), true, now);
    switch (event.head()) {
      case ResponseHead.Final head -> {
        call.recordStatus(head.status());
        if (call.isResponsePassed() && head.status() != OK) {
          cancelAndRetryOrFail(call, failedWith(head.status()), context, now, actions);
        } else {
          passResponse(call, false, actions);
        }
      }
      case ResponseHead.Failed head ->
          onEndpointFailure(call, head.status(), false, context, now, actions);
      case ResponseHead.UnconfirmedRefusal head -> {
        pauseIfAsked(call, head.status(), head.retryAfter(), now);
        // A caller may send the request again after a refusal, which is wrong if it has run.
        boolean hidesRefusal = !call.route().retrySemantics().allowsRetry();
        onEndpointFailure(call, head.status(), hidesRefusal, context, now, actions);
      }
      case ResponseHead.NotRun head -> {
        pauseIfAsked(call, head.status(), head.retryAfter(), now);
        if (head.misdirected()) {
          call.endpoint().ifPresent(e -> endpoints.markLeaving(e.endpoint(), e.incarnation(), now));
        }
        Failure notAccepted =
            Failure.notRunRetryAfter(
                ErrorCode.BUSY,
                "the endpoint did not accept the request; retry later",
                head.retryAfter().orElse(RequestAcceptance.SHORT_RETRY_DELAY));
        cancelAndRetryOrFail(call, notAccepted, context, now, actions);
      }
      case ResponseHead.Unrecognized head ->
          cancelAndRetryOrFail(
              call,
              Failure.mayHaveRun(
                  ErrorCode.INCOMPLETE_ANSWER,
                  "the endpoint sent no valid response to the request"),
              context,
              now,
              actions);
    }
  }

  /** Sends no requests to an endpoint that has asked for none for a time with a 503. */
  private void pauseIfAsked(
      ForwardedCall call, int status, Optional<Duration> retryAfter, Instant now) {
    if (status == SERVICE_UNAVAILABLE && retryAfter.isPresent()) {
      call.endpoint()
          .ifPresent(e -> endpoints.pause(e.endpointIncarnation(), retryAfter.get(), now));
    }
  }

  /** Retries a request that its endpoint has failed, or passes the response on. */
  private void onEndpointFailure(
      ForwardedCall call,
      int status,
      boolean hidesRefusal,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    versionRouter.recordEndpointFailure(call);
    boolean another =
        call.route().retrySemantics().allowsRetry() && retries.isAllowed(call, Verdict.ran(), now);
    if (another || call.isResponsePassed()) {
      cancelAndRetryOrFail(call, failedWith(status), context, now, actions);
    } else {
      passResponse(call, hidesRefusal, actions);
    }
  }

  private static Failure failedWith(int status) {
    return Failure.ran(ErrorCode.ENDPOINT_FAILED, "the endpoint failed with status " + status);
  }

  private static void passResponse(
      ForwardedCall call, boolean hidesRefusal, List<ForwardAction> actions) {
    call.markResponsePassed();
    actions.add(new ForwardAction.PassResponse(call.id(), call.attempts(), hidesRefusal));
  }

  private void cancelAndRetryOrFail(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    actions.add(ForwardLogEvents.attemptFailed(call, failure, false, now));
    actions.add(new ForwardAction.CancelAttempt(call.id(), call.attempts()));
    retryOrFail(call, failure, context, now, actions);
  }

  private void onAttemptEnded(
      ForwardEvent.AttemptEnded event, Context context, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = findRunningAttempt(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    switch (event.outcome()) {
      case ForwardAttemptOutcome.Completed end -> {
        call.addVerdict(Verdict.ran());
        crashWatch.recordCompleted(call, now);
        versionRouter.recordCompleted(call, now);
        endAttempt(call, false, now);
        acceptance.recordCompleted(call, now);
        finish(call, Optional.empty(), context, now, actions);
      }
      case ForwardAttemptOutcome.CallerDisconnected end -> {
        call.addVerdict(Verdict.mayHaveRun());
        endAttempt(call, false, now);
        finish(call, Optional.of(CALLER_DISCONNECTED), context, now, actions);
      }
      case ForwardAttemptOutcome.Failed end -> {
        actions.add(ForwardLogEvents.attemptFailed(call, end.failure(), false, now));
        retryOrFail(call, end.failure(), context, now, actions);
      }
      case ForwardAttemptOutcome.NotConnected end -> {
        endpointSelector.recordReached(call.endpoint().orElseThrow(), false, now);
        actions.add(ForwardLogEvents.attemptFailed(call, end.failure(), false, now));
        retryOrFail(call, end.failure(), context, now, actions);
      }
      case ForwardAttemptOutcome.ConnectionLost end -> {
        actions.add(ForwardLogEvents.attemptFailed(call, end.failure(), true, now));
        crashWatch.recordConnectionLost(call, now);
        retryOrFail(call, end.failure(), context, now, actions);
      }
    }
  }

  /**
   * Sends the request to another endpoint in place of the silent one. If it can't be sent to any,
   * the attempt goes on, since a sound endpoint may be silent for a while.
   */
  private void onEndpointSilent(
      ForwardEvent.EndpointSilent event,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    ForwardedCall call = findRunningAttempt(event.id(), event.attempt());
    if (call == null || !canLeaveSilentEndpoint(call, now)) {
      return;
    }
    EndpointId silent = call.endpoint().orElseThrow().endpoint();
    if (endpointSelector.choose(call, context.forwarding(), now)
            instanceof EndpointSelector.Decision.Send d
        && !d.target().announcement().endpoint().equals(silent)
        && retries.tryRetry(call, ENDPOINT_SILENT, now)) {
      actions.add(ForwardLogEvents.attemptFailed(call, ENDPOINT_SILENT, false, now));
      actions.add(new ForwardAction.CancelAttempt(call.id(), call.attempts()));
      call.addVerdict(ENDPOINT_SILENT.verdict());
      endAttempt(call, true, now);
      send(call, d.target(), now, actions);
    }
  }

  private boolean canLeaveSilentEndpoint(ForwardedCall call, Instant now) {
    return (!call.isResponsePassed() || isResumable(call))
        && retries.isRetryAvailable(call, ENDPOINT_SILENT.verdict(), now)
        && crashWatch.allowsRetry(call)
        && crashWatch.findSuspension(call, now).isEmpty();
  }

  /** Retries the request after an attempt without a complete response, or fails it. */
  private void retryOrFail(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    call.addVerdict(failure.verdict());
    endAttempt(call, failure.code() != ErrorCode.BUSY, now);
    boolean canContinue =
        !call.isResponsePassed() || (isResumable(call) && isResumableFailure(failure));
    if (canContinue && crashWatch.allowsRetry(call) && retries.tryRetry(call, failure, now)) {
      startAttempt(call, context, now, actions);
    } else {
      fail(call, failure, context, now, actions);
    }
  }

  private void onCallerDisconnected(
      RequestId id, Context context, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = calls.get(id);
    if (call == null) {
      return;
    }
    if (call.isAttempting()) {
      call.addVerdict(Verdict.mayHaveRun());
      endAttempt(call, false, now);
      actions.add(new ForwardAction.CancelAttempt(id, call.attempts()));
    }
    finish(call, Optional.of(CALLER_DISCONNECTED), context, now, actions);
  }

  /** Cancels the running attempt, if there is one, and fails the request. */
  private void cancelAndFail(
      ForwardedCall call, Failure why, Context context, Instant now, List<ForwardAction> actions) {
    if (call.isAttempting()) {
      call.addVerdict(Verdict.mayHaveRun());
      endAttempt(call, false, now);
      actions.add(new ForwardAction.CancelAttempt(call.id(), call.attempts()));
    }
    fail(call, why, context, now, actions);
  }

  /**
   * Ends the running attempt, if there is one, in the load estimates and in the version comparison.
   */
  private void endAttempt(ForwardedCall call, boolean endpointAtFault, Instant now) {
    if (call.isAttempting()) {
      Duration took = call.endAttempt(now);
      versionRouter.recordIncomplete(call, endpointAtFault, now);
      endpointSelector.releasePendingPrefill(call);
      call.endpoint()
          .ifPresent(
              target -> endpointSelector.recordAttemptEnded(target, took, endpointAtFault, now));
    }
  }

  /** Ends a request that gets no complete response. */
  private void fail(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    Failure judged = failure.withVerdict(call.verdict());
    actions.add(
        call.isResponsePassed()
            ? new ForwardAction.AbortResponse(call.id(), judged)
            : new ForwardAction.Refuse(call.id(), judged));
    finish(call, Optional.of(judged), context, now, actions);
  }

  /** Refuses a request that no limit was charged for and that was not sent. */
  private void refuse(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    calls.remove(call.id());
    actions.add(new ForwardAction.Refuse(call.id(), failure));
    addEndedActions(call, Optional.of(failure), context, now, actions);
  }

  /**
   * Ends the request. Its charge is refunded if it has certainly not run; one that waited for a
   * share was not charged.
   */
  private void finish(
      ForwardedCall call,
      Optional<Failure> failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    calls.remove(call.id());
    engineQueue.remove(call.id());
    boolean waited = shareWaitQueue.remove(call.id());
    if (call.verdict() instanceof Verdict.NotRun && !waited) {
      call.customerIfAny()
          .ifPresent(customer -> context.limits().settle(customer, call.estimatedTokens(), 0, now));
    }
    addEndedActions(call, failure, context, now, actions);
  }

  private static void addEndedActions(
      ForwardedCall call,
      Optional<Failure> failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    CallRecord record = call.toCallRecord(now, failure);
    actions.add(new ForwardAction.Ended(call.id(), record));
    actions.add(ForwardLogEvents.ended(call, record, context, now));
  }

  /**
   * Returns the request if the given attempt of it is running; events of earlier attempts are
   * ignored.
   */
  private @Nullable ForwardedCall findRunningAttempt(RequestId id, int attempt) {
    ForwardedCall call = calls.get(id);
    return call != null && call.isAttempting() && call.attempts() == attempt ? call : null;
  }

  /** Returns whether another endpoint may continue the response after this failure. */
  private static boolean isResumableFailure(Failure failure) {
    return failure.code() != ErrorCode.ANSWER_TOO_LONG;
  }

  private static boolean isResumable(ForwardedCall call) {
    return call.route().retrySemantics() instanceof RetrySemantics.ResumableStream;
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
