package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.duty.UsageCounter;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.forward.Forwarder;
import org.cuminwell.core.forward.OpenRequest;
import org.cuminwell.core.gateway.GatewayAction.AbortResponse;
import org.cuminwell.core.gateway.GatewayAction.CloseListener;
import org.cuminwell.core.gateway.GatewayAction.ListEntryHosts;
import org.cuminwell.core.gateway.GatewayAction.ListModels;
import org.cuminwell.core.gateway.GatewayAction.LogStopProgress;
import org.cuminwell.core.gateway.GatewayAction.ReadBody;
import org.cuminwell.core.gateway.GatewayAction.RecordCall;
import org.cuminwell.core.gateway.GatewayAction.Refuse;
import org.cuminwell.core.gateway.GatewayAction.ReportStopCompleted;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayAction.SendToPeer;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.ClaimAction;
import org.cuminwell.core.idempotency.ClaimKey;
import org.cuminwell.core.idempotency.ClaimTracker;
import org.cuminwell.core.idempotency.IdempotentCall;
import org.cuminwell.core.limit.Admission;
import org.cuminwell.core.limit.LimitRefusal;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.limit.ShareWaitQueue;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.residency.Residency;
import org.cuminwell.core.rollout.RolloutMessage;
import org.jspecify.annotations.Nullable;

/**
 * Decides which actions a gateway takes on each event.
 *
 * <p>Every request that was opened ends in exactly one {@link Refuse}, or in one complete response
 * that the front end has passed on. Not thread safe: one thread owns it.
 */
public final class Gateway {

  /** The tokens that a plain call is charged, since it generates none. */
  static final long TOKENS_PER_PLAIN_CALL = 1;

  private static final Failure CALL_ABORTED =
      Failure.mayHaveRun(ErrorCode.CALL_DROPPED, "the caller disconnected or sent an invalid body");

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final HostDescription self;
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final CallRules rules;
  private final HostDirectory directory = new HostDirectory();
  private final EndpointTable endpoints = new EndpointTable();
  private final int floorSlots;
  private final ShareWaitQueue<RunningCall> awaitingShare = new ShareWaitQueue<>();
  private final StartQueue startQueue = new StartQueue();
  private final GatewayPeers peers;
  private final ClaimTracker claims;
  private final VersionRollouts rollouts = new VersionRollouts();
  private final Attempts attempts;
  private final GracefulStop stop = new GracefulStop();
  private final Map<RequestId, RunningCall> calls = new HashMap<>();
  private final CrashEvidence crashes;
  private final Forwarder forwarder;
  private boolean canServe;
  private @Nullable ShareHolder limits;

  /**
   * Creates the state of the gateway that {@code self} describes, with the default bounds for
   * forwarded requests.
   *
   * @param floorSlots the maximum number of entry hosts in the gateway's data centre
   * @param random the source of random choices in routing
   */
  public Gateway(HostDescription self, int floorSlots, SplittableRandom random) {
    this(self, floorSlots, ForwardBounds.DEFAULT, random);
  }

  /** Creates the state of the gateway that {@code self} describes, without counts for usage. */
  public Gateway(
      HostDescription self, int floorSlots, ForwardBounds bounds, SplittableRandom random) {
    this(self, floorSlots, bounds, Optional.empty(), random);
  }

  /**
   * Creates the state of the gateway that {@code self} describes.
   *
   * @param floorSlots the maximum number of entry hosts in the gateway's data centre
   * @param bounds the bounds for forwarded requests
   * @param usageWindow the length of the windows by which usage is counted; empty if it is not
   * @param random the source of random choices in routing
   */
  public Gateway(
      HostDescription self,
      int floorSlots,
      ForwardBounds bounds,
      Optional<Duration> usageWindow,
      SplittableRandom random) {
    this.self = self;
    rules = new CallRules(self.place(), configuration);
    claims = new ClaimTracker(self.id());
    this.floorSlots = floorSlots;
    attempts = new Attempts(self.place(), random);
    crashes = CrashEvidence.ofGateway(self.id(), () -> directory.all().size(), random.split());
    SplittableRandom forwarderRandom = random.split();
    Optional<UsageCounter> usage =
        usageWindow.map(window -> new UsageCounter(window, random.nextLong()));
    forwarder =
        new Forwarder(self.place(), endpoints, directory, crashes, bounds, usage, forwarderRandom);
    peers =
        new GatewayPeers(
            self, configuration, directory, endpoints, crashes, forwarder.loadSharing());
  }

  /**
   * Restores the configuration that was stored on this host's disk; to be called before the first
   * event.
   */
  public void restore(Configuration stored) {
    configuration.applyIfNewer(stored);
    peers.recordRestored();
  }

  /** Handles the event and returns the actions to take, in order. */
  public List<GatewayAction> handle(GatewayEvent event, Instant now) {
    List<GatewayAction> actions = new ArrayList<>();
    switch (event) {
      case GatewayEvent.HeadReceived e -> onHeadReceived(e.head(), now, actions);
      case GatewayEvent.BodyReceived e -> onBodyReceived(e.body(), now, actions);
      case GatewayEvent.CallAborted e -> onCallAborted(e.id(), now, actions);
      case GatewayEvent.ResponseStarted e -> onResponseStarted(e, now);
      case GatewayEvent.AttemptEnded e -> {
        onAttemptEnded(e, now, actions);
        startQueued(now, actions);
      }
      case GatewayEvent.ReplayableResponseReceived e -> onReplayableResponse(e);
      case GatewayEvent.Forwarded e -> {
        addForwardActions(forwarder.handle(e.event(), forwardContext(now), now), actions);
        forwarder
            .takeObservedDepartures()
            .forEach(endpoint -> peers.onDepartureObserved(endpoint, now, actions));
        reportShares(now, actions);
      }
      case GatewayEvent.ModelsRequested e -> listModels(e, actions);
      case GatewayEvent.EntryHostsRequested e -> listEntryHosts(e, actions);
      case GatewayEvent.EndpointAnnounced e -> peers.onAnnouncement(e.announcement(), now);
      case GatewayEvent.EndpointReported e -> peers.onLoadReport(e.report());
      case GatewayEvent.EndpointLeaving e -> peers.onLeaving(e.endpoint(), e.incarnation(), now);
      case GatewayEvent.DepartureObserved e -> onDepartureObserved(e.endpoint(), now, actions);
      case GatewayEvent.PeerConnected e -> peers.onConnected(e.peer(), actions);
      case GatewayEvent.PeerDisconnected e -> {
        peers.onDisconnected(e.peer());
        claims.onPeerDisconnected(e.peer());
      }
      case GatewayEvent.PeerMessageReceived e -> onPeerMessage(e.peer(), e.message(), now, actions);
      case GatewayEvent.Ticked e -> tick(now, actions);
      case GatewayEvent.StopRequested e -> onStopRequested(e.gracePeriod(), now, actions);
    }
    advanceStop(now, actions);
    crashes.takeLogEvents().forEach(e -> actions.add(new GatewayAction.LogCrashEvidence(e)));
    if (limits != null) {
      limits.takeLogEvents().forEach(e -> actions.add(new GatewayAction.LogShares(e)));
    }
    return actions;
  }

  /**
   * Returns whether this gateway accepts requests: it can serve from its configuration, and no stop
   * was requested.
   */
  public boolean isReady() {
    return canServe && !stop.isRequested();
  }

  private void onDepartureObserved(
      EndpointIncarnation endpoint, Instant now, List<GatewayAction> actions) {
    if (!endpoints.isLeaving(endpoint)) {
      peers.onDepartureObserved(endpoint, now, actions);
    }
  }

  private void addForwardActions(List<ForwardAction> forwardActions, List<GatewayAction> actions) {
    forwardActions.forEach(action -> actions.add(new GatewayAction.Forward(action)));
  }

  private Forwarder.Context forwardContext(Instant now) {
    return new Forwarder.Context(
        configuration.index(), peers.currentAsOf(), currentLimits(now), stop.acceptancePolicy(now));
  }

  private void tick(Instant now, List<GatewayAction> actions) {
    canServe =
        peers.isServing()
            && (configuration.index().configuration().forwarding().routes().isEmpty()
                || forwarder.isKeyLeaseValid(peers.currentAsOf(), now));
    peers.setAcceptsCallers(isReady(), actions);
    addForwardActions(forwarder.tick(forwardContext(now), now), actions);
    endpoints.removeExpired(now);
    peers.tick(now, actions);
    applyClaimActions(claims.onTick(now), now, actions);
    retryAwaitingShare(now, actions);
    startQueued(now, actions);
    reportShares(now, actions);
    rollouts
        .createReportIfDue(self.id(), configuration.index(), endpoints, now)
        .ifPresent(report -> sendToControlHosts(report, actions));
    forwarder
        .versionReport(self.id(), now)
        .ifPresent(report -> sendToControlHosts(report, actions));
    attempts.evictIdle(now);
  }

  /** Takes the steps of a graceful stop that are due; none is due unless a stop was requested. */
  private void advanceStop(Instant now, List<GatewayAction> actions) {
    if (stop.startRefusingIfDue(now)) {
      currentLimits(now).releaseShares();
      actions.add(
          new LogStopProgress(new StopLogEvent.Refusing(countOpenRequests(), stop.elapsed(now))));
      actions.add(new CloseListener());
    }
    if (stop.startAbortingIfDue(now)) {
      abortAll(now, actions);
    }
    boolean isIdle = calls.isEmpty() && forwarder.isIdle() && claims.isIdle();
    if (stop.becomeIdleIfDue(isIdle, now)) {
      actions.add(new LogStopProgress(new StopLogEvent.Idle(stop.elapsed(now))));
      actions.add(new ReportStopCompleted());
    }
  }

  private int countOpenRequests() {
    return calls.size() + forwarder.openRequestCount();
  }

  /** Aborts every request that is still open at the end of the grace period. */
  private void abortAll(Instant now, List<GatewayAction> actions) {
    List<OpenRequest> open = new ArrayList<>(forwarder.listOpenRequests(now));
    calls.values().forEach(call -> open.add(call.toOpenRequest(now)));
    if (!open.isEmpty()) {
      actions.add(new LogStopProgress(new StopLogEvent.RequestsAborted(open, stop.elapsed(now))));
    }
    addForwardActions(forwarder.abortAll(forwardContext(now), now), actions);
    List.copyOf(calls.values())
        .forEach(call -> endEarly(call, ErrorCode.STOPPING, "this host has stopped", now, actions));
  }

  private void onHeadReceived(CallHead head, Instant now, List<GatewayAction> actions) {
    Optional<Failure> refusal = findRefusal(head, now);
    if (refusal.isPresent()) {
      actions.add(new Refuse(head.id(), refusal.get()));
      return;
    }
    Customer customer = rules.findCustomer(head).orElseThrow();
    calls.put(head.id(), new RunningCall(head, customer, now));
    actions.add(new ReadBody(head.id()));
  }

  private Optional<Failure> findRefusal(CallHead head, Instant now) {
    if (stop.refusesNewRequests(now)) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.STOPPING, "this host is stopping; use another entry host", RETRY_DELAY));
    }
    if (!peers.isServing()) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.NOT_READY, "this host has no configuration yet; try again", RETRY_DELAY));
    }
    return rules.findRefusal(head);
  }

  /** Admits, refuses or delays a call whose body has arrived. */
  private void onBodyReceived(CallBody body, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(body.id());
    if (call == null) {
      return;
    }
    Optional<Route> route = rules.findRoute(call.head().target(), body);
    if (route.isEmpty()) {
      refuseCall(
          call, Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "no route serves the model"), now, actions);
      return;
    }
    long estimatedTokens = estimateTokens(body);
    call.setRoute(route.get(), estimatedTokens);
    call.setIdempotentCall(
        switch (body) {
          case CallBody.Completion c -> Optional.empty();
          case CallBody.Plain p -> p.idempotentCall();
        });
    if (body instanceof CallBody.Completion completion) {
      call.setCompletionBody(completion);
    }
    Residency residency = Residency.of(call.customer(), route.get());
    if (!residency.allows(self.place().region())) {
      refuseCall(call, CallRules.wrongRegionFailure(residency), now, actions);
      return;
    }
    Admission admission = currentLimits(now).admit(call.customer(), estimatedTokens, now);
    if (admission instanceof Admission.ShareShort && awaitingShare.offer(call, now)) {
      reportShares(now, actions);
      return;
    }
    Optional<Failure> refusal = LimitRefusal.of(admission, estimatedTokens);
    if (refusal.isPresent()) {
      refuseCall(call, refusal.get(), now, actions);
      return;
    }
    startOrQueue(call, now, actions);
  }

  private void retryAwaitingShare(Instant now, List<GatewayAction> actions) {
    ShareWaitQueue.Result<RunningCall> result = awaitingShare.retry(currentLimits(now), now);
    result
        .refused()
        .forEach(refused -> refuseCall(refused.call(), refused.failure(), now, actions));
    result.admitted().forEach(call -> startOrQueue(call, now, actions));
  }

  private void startOrQueue(RunningCall call, Instant now, List<GatewayAction> actions) {
    switch (startQueue.startOrQueue(call, capacity(now), now)) {
      case StartQueue.Decision.Start d -> claimOrSend(call, now, actions);
      case StartQueue.Decision.Wait d -> {}
      case StartQueue.Decision.Refuse d -> refuseCharged(call, d.failure(), now, actions);
    }
  }

  /**
   * Refuses queued requests that have waited too long, and starts those that there is capacity for.
   */
  private void startQueued(Instant now, List<GatewayAction> actions) {
    for (RequestId id : startQueue.expire(now)) {
      RunningCall call = calls.get(id);
      if (call != null) {
        refuseCharged(call, StartQueue.waitedTooLongFailure(), now, actions);
      }
    }
    for (RequestId id : startQueue.startNext(capacity(now), now)) {
      RunningCall call = calls.get(id);
      if (call != null) {
        claimOrSend(call, now, actions);
      }
    }
  }

  /** Sends the call, or first claims its Idempotency-Key if it must not run twice. */
  private void claimOrSend(RunningCall call, Instant now, List<GatewayAction> actions) {
    Optional<IdempotentCall> claim = call.idempotentCall().filter(_ -> !call.isIdempotent());
    if (claim.isEmpty()) {
      startAttempt(call, now, actions);
      return;
    }
    ClaimKey key = new ClaimKey(call.customer().id(), call.route().id(), claim.get().key());
    Duration runLimit = Duration.between(now, call.deadline());
    applyClaimActions(
        claims.requestClaim(call.id(), key, claim.get().fingerprint(), runLimit, now),
        now,
        actions);
  }

  private void applyClaimActions(
      List<ClaimAction> claimActions, Instant now, List<GatewayAction> actions) {
    for (ClaimAction claimAction : claimActions) {
      switch (claimAction) {
        case ClaimAction.Send action ->
            actions.add(
                new SendToPeer(action.control(), new PeerMessage.Idempotency(action.message())));
        case ClaimAction.Proceed action -> sendClaimed(action.request(), now, actions);
        case ClaimAction.Replay action -> replayResponse(action, now, actions);
        case ClaimAction.Refuse action -> {
          RunningCall call = calls.get(action.request());
          if (call != null) {
            refuseCharged(call, action.failure(), now, actions);
          }
        }
      }
    }
  }

  /**
   * Sends a call whose claim was granted, or releases the claim if the call has ended or is too
   * late.
   */
  private void sendClaimed(RequestId id, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(id);
    if (call == null) {
      applyClaimActions(claims.releaseClaim(id, now), now, actions);
    } else if (now.isBefore(call.deadline())) {
      startAttempt(call, now, actions);
    } else {
      refuseCharged(
          call,
          Failure.notRun(
              ErrorCode.DEADLINE_EXCEEDED,
              "the Idempotency-Key was not claimed before the deadline; try again"),
          now,
          actions);
    }
  }

  private void replayResponse(ClaimAction.Replay replay, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.remove(replay.request());
    if (call != null) {
      startQueue.remove(call.id());
      currentLimits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
      actions.add(new GatewayAction.Replay(call.id(), replay.answer()));
      actions.add(new RecordCall(call.id(), call.toCallRecord(now, Usage.NONE, Optional.empty())));
    }
  }

  private StartQueue.Capacity capacity(Instant now) {
    return new ReachableCapacity(endpoints, directory, self, now);
  }

  /** Refuses a request that was charged, and refunds the whole charge. */
  private void refuseCharged(
      RunningCall call, Failure failure, Instant now, List<GatewayAction> actions) {
    currentLimits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
    refuseCall(call, failure, now, actions);
  }

  /**
   * Removes a request that was not sent. If it was sent, the end of its attempt is reported
   * separately.
   */
  private void onCallAborted(RequestId id, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(id);
    if (call == null || call.isAttemptRunning()) {
      return;
    }
    remove(call, now);
    Failure failure = CALL_ABORTED.withVerdict(Verdict.notRun());
    actions.add(new RecordCall(id, call.toCallRecord(now, Usage.NONE, Optional.of(failure))));
  }

  private void remove(RunningCall call, Instant now) {
    calls.remove(call.id());
    awaitingShare.remove(call.id());
    if (startQueue.remove(call.id())) {
      currentLimits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
    }
  }

  /** Returns the limits of the customers, with the configuration in force applied. */
  private ShareHolder currentLimits(Instant now) {
    if (limits == null) {
      limits = new ShareHolder(self.place(), floorSlots, now);
    }
    limits.configure(configuration.index().configuration(), now);
    return limits;
  }

  private void reportShares(Instant now, List<GatewayAction> actions) {
    currentLimits(now)
        .tick(now)
        .ifPresent(m -> actions.add(new SendToPeer(m.to(), new PeerMessage.Limits(m.message()))));
  }

  private static long estimateTokens(CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> c.promptTokens() + c.maxCompletionTokens();
      case CallBody.Plain p -> TOKENS_PER_PLAIN_CALL;
    };
  }

  /** Sends the call to an endpoint, or refuses it if none can accept it. */
  private void startAttempt(RunningCall call, Instant now, List<GatewayAction> actions) {
    var serving = endpoints.findServing(call.route().service().name(), now);
    Optional<SendToEndpoint> attempt =
        attempts.startNext(
            call,
            serving,
            resident -> rollouts.selectVersion(call, configuration.index(), resident, now),
            now);
    if (attempt.isPresent()) {
      call.endpoint()
          .ifPresent(target -> rollouts.recordAttemptStarted(call, target.version(), now));
      actions.add(attempt.get());
      return;
    }
    Failure noEndpoint =
        Failure.notRunRetryAfter(
            ErrorCode.NO_ENDPOINT, "no endpoint can accept the request; try again", RETRY_DELAY);
    refuseCharged(call, call.withCombinedVerdict(noEndpoint), now, actions);
  }

  private void onResponseStarted(GatewayEvent.ResponseStarted event, Instant now) {
    RunningCall call = calls.get(event.id());
    if (call != null && call.attempts() == event.attempt()) {
      call.recordResponseStarted(now);
      rollouts.recordResponseStarted(call.id(), now);
    }
  }

  private void onReplayableResponse(GatewayEvent.ReplayableResponseReceived event) {
    RunningCall call = calls.get(event.id());
    if (call != null && call.attempts() == event.attempt()) {
      call.setOutcome(event.outcome());
    }
  }

  private void onAttemptEnded(
      GatewayEvent.AttemptEnded event, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(event.id());
    if (call == null || call.attempts() != event.attempt()) {
      return;
    }
    attempts.recordEnded(call, event.outcome(), now);
    rollouts.recordAttemptEnded(call.id(), event.outcome(), now);
    switch (event.outcome()) {
      case AttemptOutcome.Completed outcome ->
          finishCall(call, outcome.usage(), Optional.empty(), now, actions);
      case AttemptOutcome.CallerDisconnected outcome -> {
        applyClaimActions(
            claims.recordOutcome(call.id(), new CallOutcome.Unknown(), now), now, actions);
        finishCall(call, outcome.usage(), Optional.of(CALL_ABORTED), now, actions);
      }
      case AttemptOutcome.Failed outcome -> onAttemptFailed(call, outcome, now, actions);
    }
  }

  private void sendToControlHosts(RolloutMessage message, List<GatewayAction> actions) {
    for (HostId control : claims.controlHosts()) {
      actions.add(new SendToPeer(control, new PeerMessage.Rollouts(message)));
    }
  }

  /** Retries the call, or ends it with the failure. */
  private void onAttemptFailed(
      RunningCall call, AttemptOutcome.Failed outcome, Instant now, List<GatewayAction> actions) {
    Failure failure = call.withCombinedVerdict(outcome.failure());
    if (attempts.trySpendRetry(call, outcome.failure(), now)) {
      startAttempt(call, now, actions);
      return;
    }
    if (!call.hasResponseStarted()) {
      actions.add(new Refuse(call.id(), failure));
    }
    finishCall(call, outcome.usage(), Optional.of(failure), now, actions);
  }

  /**
   * Removes a call whose last attempt has ended, and settles its charge, its claim and the evidence
   * on its version.
   */
  private void finishCall(
      RunningCall call,
      Usage usage,
      Optional<Failure> failure,
      Instant now,
      List<GatewayAction> actions) {
    calls.remove(call.id());
    startQueue.remove(call.id());
    long used =
        switch (call.route().service()) {
          case Service.Model m -> usage.total();
          case Service.Plain p -> TOKENS_PER_PLAIN_CALL;
        };
    currentLimits(now).settle(call.customer(), call.estimatedTokens(), used, now);
    applyClaimActions(settleClaim(call, failure, now), now, actions);
    rollouts.recordAttemptEnded(call.id(), new AttemptOutcome.CallerDisconnected(usage), now);
    actions.add(new RecordCall(call.id(), call.toCallRecord(now, usage, failure)));
  }

  /** Releases the claim of a call that has not run, or records the outcome of the call. */
  private List<ClaimAction> settleClaim(RunningCall call, Optional<Failure> failure, Instant now) {
    if (failure.isEmpty()) {
      return claims.recordOutcome(call.id(), call.outcomeForReplay(), now);
    }
    return switch (failure.get().verdict()) {
      case Verdict.NotRun v -> claims.releaseClaim(call.id(), now);
      case Verdict.MayHaveRun v -> claims.recordOutcome(call.id(), new CallOutcome.Unknown(), now);
      case Verdict.Ran v -> claims.recordOutcome(call.id(), new CallOutcome.AnswerLost(), now);
    };
  }

  /**
   * Refuses a request. The claim of a claimed one is released, since such a request is refused only
   * if it has certainly not run.
   */
  private void refuseCall(
      RunningCall call, Failure failure, Instant now, List<GatewayAction> actions) {
    calls.remove(call.id());
    startQueue.remove(call.id());
    applyClaimActions(claims.releaseClaim(call.id(), now), now, actions);
    actions.add(new Refuse(call.id(), failure));
    actions.add(
        new RecordCall(call.id(), call.toCallRecord(now, Usage.NONE, Optional.of(failure))));
  }

  private void listModels(GatewayEvent.ModelsRequested event, List<GatewayAction> actions) {
    if (event.key().flatMap(configuration.index()::customerByKey).isEmpty()) {
      actions.add(new Refuse(event.id(), CallRules.invalidKeyFailure(event.key())));
      return;
    }
    List<String> models =
        configuration.index().configuration().routes().values().stream()
            .filter(route -> route.service() instanceof Service.Model)
            .map(route -> route.service().name())
            .sorted()
            .toList();
    actions.add(new ListModels(event.id(), models));
  }

  private void listEntryHosts(GatewayEvent.EntryHostsRequested event, List<GatewayAction> actions) {
    Optional<Customer> customer = event.key().flatMap(configuration.index()::customerByKey);
    if (event.key().isPresent() && customer.isEmpty()) {
      actions.add(new Refuse(event.id(), CallRules.invalidKeyFailure(event.key())));
      return;
    }
    Optional<Route> route = event.route().flatMap(configuration.index()::route);
    if (event.route().isPresent() && route.isEmpty()) {
      actions.add(
          new Refuse(
              event.id(), Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "there is no such route")));
      return;
    }
    Residency residency =
        customer
            .map(Residency::of)
            .orElseGet(Residency.Unbound::new)
            .and(Residency.of(route.map(Route::boundTo).orElse(Set.of())));
    actions.add(new ListEntryHosts(event.id(), directory.entryHosts(residency, self.place())));
  }

  private void onPeerMessage(
      HostId peer, PeerMessage message, Instant now, List<GatewayAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> {
        Revision previous = configuration.revision();
        peers.onMessage(peer, m.message(), now, actions);
        if (configuration.revision().isAfter(previous)) {
          endCallsWithWithdrawnKey(now, actions);
        }
      }
      case PeerMessage.Directory m -> peers.onMessage(peer, m.message(), now, actions);
      case PeerMessage.Idempotency m ->
          applyClaimActions(claims.onMessage(peer, m.message(), now), now, actions);
      case PeerMessage.Rollouts m -> onRolloutMessage(m.message(), now);
      case PeerMessage.Limits m -> {
        currentLimits(now).onMessage(peer, m.message(), now);
        retryAwaitingShare(now, actions);
        addForwardActions(forwarder.onSharesChanged(forwardContext(now), now), actions);
      }
      case PeerMessage.Consensus m -> {}
      case PeerMessage.Membership m -> peers.onMessage(peer, m.message(), now, actions);
      case PeerMessage.Crashes m -> peers.onMessage(peer, m.update(), now);
      case PeerMessage.Usage m -> answerUsage(peer, m.message(), now, actions);
    }
  }

  private void answerUsage(
      HostId peer, UsageMessage message, Instant now, List<GatewayAction> actions) {
    switch (message) {
      case UsageMessage.Request m ->
          forwarder
              .usageCounts(m, now)
              .ifPresent(c -> actions.add(new SendToPeer(peer, new PeerMessage.Usage(c))));
      case UsageMessage.Counts m -> {}
    }
  }

  private void onStopRequested(Duration gracePeriod, Instant now, List<GatewayAction> actions) {
    if (stop.request(gracePeriod, now)) {
      actions.add(
          new LogStopProgress(new StopLogEvent.Requested(countOpenRequests(), gracePeriod)));
      peers.setAcceptsCallers(false, actions);
    }
  }

  /** Ends every running request whose key has been withdrawn. */
  private void endCallsWithWithdrawnKey(Instant now, List<GatewayAction> actions) {
    List<RunningCall> withdrawn =
        calls.values().stream()
            .filter(
                call ->
                    rules
                        .findCustomer(call.head())
                        .filter(customer -> customer.id().equals(call.customer().id()))
                        .isEmpty())
            .toList();
    String message = "the key was withdrawn while the request was running";
    withdrawn.forEach(call -> endEarly(call, ErrorCode.INVALID_KEY, message, now, actions));
  }

  /**
   * Ends a request with the error: cancels the response if it has started, else refuses the
   * request.
   */
  private void endEarly(
      RunningCall call, ErrorCode code, String message, Instant now, List<GatewayAction> actions) {
    if (call.attempts() == 0) {
      remove(call, now);
      refuseCall(call, Failure.notRun(code, message), now, actions);
    } else if (call.hasResponseStarted()) {
      actions.add(new AbortResponse(call.id(), Failure.ran(code, message)));
    } else {
      Failure failure = Failure.mayHaveRun(code, message);
      attempts.recordEnded(call, new AttemptOutcome.CallerDisconnected(Usage.NONE), now);
      actions.add(new Refuse(call.id(), failure));
      finishCall(call, Usage.NONE, Optional.of(failure), now, actions);
    }
  }

  private void onRolloutMessage(RolloutMessage message, Instant now) {
    switch (message) {
      case RolloutMessage.Steps steps -> rollouts.recordSteps(steps.latestSteps(), now);
      case RolloutMessage.Report report -> {}
    }
  }
}
