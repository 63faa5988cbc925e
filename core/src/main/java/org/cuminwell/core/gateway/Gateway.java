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
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.forward.Forwarder;
import org.cuminwell.core.forward.OpenRequest;
import org.cuminwell.core.gateway.GatewayAction.AnswerEntryHosts;
import org.cuminwell.core.gateway.GatewayAction.AnswerModels;
import org.cuminwell.core.gateway.GatewayAction.CancelCall;
import org.cuminwell.core.gateway.GatewayAction.CloseListener;
import org.cuminwell.core.gateway.GatewayAction.LogStop;
import org.cuminwell.core.gateway.GatewayAction.ReadBody;
import org.cuminwell.core.gateway.GatewayAction.RecordCall;
import org.cuminwell.core.gateway.GatewayAction.Refuse;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayAction.SendToPeer;
import org.cuminwell.core.gateway.GatewayAction.StopCompleted;
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
 * Decides what a gateway does with each event.
 *
 * <p>Every request that was opened ends in exactly one {@link Refuse}, or in one whole answer that
 * the front end has passed on. Not thread safe: one thread owns it.
 */
public final class Gateway {

  /** The tokens that a plain call is charged, since it generates none. */
  static final long PLAIN_CALL_TOKENS = 1;

  private static final Failure DROPPED =
      Failure.mayHaveRun(ErrorCode.CALL_DROPPED, "the caller went away or sent a bad body");

  private static final Duration RETRY_SOON = Duration.ofSeconds(1);

  private final HostDescription self;
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final CallRules rules;
  private final HostDirectory directory = new HostDirectory();
  private final EndpointTable endpoints = new EndpointTable();
  private final int floorSlots;
  private final ShareWaitQueue<RunningCall> awaited = new ShareWaitQueue<>();
  private final StartQueue starts = new StartQueue();
  private final GatewayPeers peers;
  private final ClaimTracker claims;
  private final VersionRollouts versions = new VersionRollouts();
  private final Attempts attempts;
  private final GracefulStop stop = new GracefulStop();
  private final Map<RequestId, RunningCall> calls = new HashMap<>();
  private final Forwarder forwarder;
  private boolean isServing;
  private @Nullable ShareHolder limits;

  /**
   * Makes the state of the gateway that {@code self} describes.
   *
   * @param floorSlots how many entry hosts its data centre may have
   * @param random makes the draws of routing
   */
  public Gateway(HostDescription self, int floorSlots, SplittableRandom random) {
    this(self, floorSlots, ForwardBounds.DEFAULT, random);
  }

  /**
   * Makes the state of the gateway that {@code self} describes.
   *
   * @param floorSlots how many entry hosts its data centre may have
   * @param bounds bounds what is done with forwarded requests
   * @param random makes the draws of routing
   */
  public Gateway(
      HostDescription self, int floorSlots, ForwardBounds bounds, SplittableRandom random) {
    this.self = self;
    rules = new CallRules(self.place(), configuration);
    claims = new ClaimTracker(self.id());
    this.floorSlots = floorSlots;
    attempts = new Attempts(self.place(), random);
    forwarder = new Forwarder(self.place(), endpoints, directory, bounds, random.split());
    peers = new GatewayPeers(self, configuration, directory, endpoints);
  }

  /** Takes in the configuration that this host's disk kept; call it before the first event. */
  public void restore(Configuration kept) {
    configuration.applyIfNewer(kept);
    peers.restored();
  }

  /** Returns what to do about the event, in order. */
  public List<GatewayAction> handle(GatewayEvent event, Instant now) {
    List<GatewayAction> actions = new ArrayList<>();
    switch (event) {
      case GatewayEvent.HeadReceived e -> open(e.head(), now, actions);
      case GatewayEvent.BodyReceived e -> admit(e.body(), now, actions);
      case GatewayEvent.CallAborted e -> drop(e.id(), now, actions);
      case GatewayEvent.ResponseStarted e -> answerBegan(e, now);
      case GatewayEvent.AttemptEnded e -> {
        attemptEnded(e, now, actions);
        startWaiting(now, actions);
      }
      case GatewayEvent.ReplayableResponseReceived e -> keep(e);
      case GatewayEvent.Forwarded e -> {
        forward(forwarder.handle(e.event(), known(now), now), actions);
        reportShares(now, actions);
      }
      case GatewayEvent.ModelsRequested e -> listModels(e, actions);
      case GatewayEvent.EntryHostsRequested e -> listEntryHosts(e, actions);
      case GatewayEvent.EndpointAnnounced e -> peers.announced(e.announcement(), now);
      case GatewayEvent.EndpointReported e -> peers.reported(e.report());
      case GatewayEvent.EndpointLeaving e -> peers.leaving(e.endpoint(), e.incarnation(), now);
      case GatewayEvent.PeerConnected e -> peers.connected(e.peer(), actions);
      case GatewayEvent.PeerDisconnected e -> {
        peers.lost(e.peer());
        claims.onPeerDisconnected(e.peer());
      }
      case GatewayEvent.PeerMessageReceived e -> hear(e.peer(), e.message(), now, actions);
      case GatewayEvent.Ticked e -> tick(now, actions);
      case GatewayEvent.StopRequested e -> stop(e.gracePeriod(), now, actions);
    }
    stepStop(now, actions);
    return actions;
  }

  /** Returns whether requests can be answered. */
  public boolean isReady() {
    return isServing && !stop.isAsked();
  }

  private void forward(List<ForwardAction> decided, List<GatewayAction> actions) {
    decided.forEach(action -> actions.add(new GatewayAction.Forward(action)));
  }

  private Forwarder.Context known(Instant now) {
    return new Forwarder.Context(
        configuration.index(), peers.currentAsOf(), limits(now), stop.intake(now));
  }

  private void tick(Instant now, List<GatewayAction> actions) {
    isServing =
        peers.isServing()
            && (configuration.index().configuration().forwarding().routes().isEmpty()
                || forwarder.isKeyLeaseValid(peers.currentAsOf(), now));
    peers.accept(isReady(), actions);
    forward(forwarder.tick(known(now), now), actions);
    endpoints.removeExpired(now);
    peers.tick(now, actions);
    claimed(claims.tick(now), now, actions);
    retryAwaited(now, actions);
    startWaiting(now, actions);
    reportShares(now, actions);
    versions
        .report(self.id(), configuration.index(), endpoints, now)
        .ifPresent(report -> tellControls(report, actions));
    forwarder.versionReport(self.id(), now).ifPresent(report -> tellControls(report, actions));
    attempts.tick(now);
  }

  /** Does what a stop has due by now; nothing is due unless one was asked for. */
  private void stepStop(Instant now, List<GatewayAction> actions) {
    if (stop.beginsRefusing(now)) {
      limits(now).releaseShares();
      actions.add(new LogStop(new StopLogEvent.Refusing(openRequests(), stop.after(now))));
      actions.add(new CloseListener());
    }
    if (stop.beginsCutting(now)) {
      cutAll(now, actions);
    }
    boolean nothingRuns = calls.isEmpty() && forwarder.isIdle() && claims.isIdle();
    if (stop.becomesIdle(nothingRuns, now)) {
      actions.add(new LogStop(new StopLogEvent.Idle(stop.after(now))));
      actions.add(new StopCompleted());
    }
  }

  private int openRequests() {
    return calls.size() + forwarder.openRequestCount();
  }

  /** Ends every request that outlasts the time for the stop. */
  private void cutAll(Instant now, List<GatewayAction> actions) {
    List<OpenRequest> open = new ArrayList<>(forwarder.listOpenRequests(now));
    calls.values().forEach(call -> open.add(call.open(now)));
    if (!open.isEmpty()) {
      actions.add(new LogStop(new StopLogEvent.RequestsAborted(open, stop.after(now))));
    }
    forward(forwarder.abortAll(known(now), now), actions);
    List.copyOf(calls.values())
        .forEach(call -> endEarly(call, ErrorCode.STOPPING, "this host has stopped", now, actions));
  }

  private void open(CallHead head, Instant now, List<GatewayAction> actions) {
    Optional<Failure> refusal = refusalOfHead(head, now);
    if (refusal.isPresent()) {
      actions.add(new Refuse(head.id(), refusal.get()));
      return;
    }
    Customer customer = rules.customerOf(head).orElseThrow();
    calls.put(head.id(), new RunningCall(head, customer, now));
    actions.add(new ReadBody(head.id()));
  }

  private Optional<Failure> refusalOfHead(CallHead head, Instant now) {
    if (stop.refuses(now)) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.STOPPING, "this host is stopping; use another entry host", RETRY_SOON));
    }
    if (!peers.isServing()) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.NOT_READY, "this host has no configuration yet; try again", RETRY_SOON));
    }
    return rules.refusal(head);
  }

  private void admit(CallBody body, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(body.id());
    if (call == null) {
      return;
    }
    Optional<Route> route = rules.routeOf(call.head().target(), body);
    if (route.isEmpty()) {
      refuse(
          call, Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "no route serves the model"), now, actions);
      return;
    }
    long estimate = estimate(body);
    call.resolve(route.get(), estimate);
    call.idempotent(
        switch (body) {
          case CallBody.Completion c -> Optional.empty();
          case CallBody.Plain p -> p.idempotentCall();
        });
    if (body instanceof CallBody.Completion completion) {
      call.describe(completion);
    }
    Residency residency = Residency.of(call.customer(), route.get());
    if (!residency.allows(self.place().region())) {
      refuse(call, CallRules.wrongRegion(residency), now, actions);
      return;
    }
    Admission admission = limits(now).admit(call.customer(), estimate, now);
    if (admission instanceof Admission.ShareShort && awaited.offer(call, now)) {
      reportShares(now, actions);
      return;
    }
    Optional<Failure> refusal = LimitRefusal.of(admission, estimate);
    if (refusal.isPresent()) {
      refuse(call, refusal.get(), now, actions);
      return;
    }
    start(call, now, actions);
  }

  private void retryAwaited(Instant now, List<GatewayAction> actions) {
    ShareWaitQueue.Result<RunningCall> result = awaited.retry(limits(now), now);
    result.refused().forEach(refused -> refuse(refused.call(), refused.failure(), now, actions));
    result.admitted().forEach(call -> start(call, now, actions));
  }

  private void start(RunningCall call, Instant now, List<GatewayAction> actions) {
    switch (starts.arrive(call, capacity(now), now)) {
      case StartQueue.Decision.Start d -> begin(call, now, actions);
      case StartQueue.Decision.Wait d -> {}
      case StartQueue.Decision.Refuse d -> refuseCharged(call, d.failure(), now, actions);
    }
  }

  /** Starts what waits and has room now, and refuses what has waited too long. */
  private void startWaiting(Instant now, List<GatewayAction> actions) {
    for (RequestId id : starts.expire(now)) {
      RunningCall call = calls.get(id);
      if (call != null) {
        refuseCharged(call, StartQueue.tooLong(), now, actions);
      }
    }
    for (RequestId id : starts.next(capacity(now), now)) {
      RunningCall call = calls.get(id);
      if (call != null) {
        begin(call, now, actions);
      }
    }
  }

  /** Sends the call, or claims its key first where it must not run twice. */
  private void begin(RunningCall call, Instant now, List<GatewayAction> actions) {
    Optional<IdempotentCall> claim = call.idempotent().filter(_ -> !call.isIdempotent());
    if (claim.isEmpty()) {
      attempt(call, now, actions);
      return;
    }
    ClaimKey key = new ClaimKey(call.customer().id(), call.route().id(), claim.get().key());
    Duration runLimit = Duration.between(now, call.deadline());
    claimed(
        claims.requestClaim(call.id(), key, claim.get().fingerprint(), runLimit, now),
        now,
        actions);
  }

  private void claimed(List<ClaimAction> steps, Instant now, List<GatewayAction> actions) {
    for (ClaimAction step : steps) {
      switch (step) {
        case ClaimAction.Send s ->
            actions.add(new SendToPeer(s.control(), new PeerMessage.Idempotency(s.message())));
        case ClaimAction.Proceed s -> proceed(s.request(), now, actions);
        case ClaimAction.Replay s -> replay(s, now, actions);
        case ClaimAction.Refuse s -> {
          RunningCall call = calls.get(s.request());
          if (call != null) {
            refuseCharged(call, s.failure(), now, actions);
          }
        }
      }
    }
  }

  private void proceed(RequestId id, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(id);
    if (call == null) {
      claimed(claims.releaseClaim(id, now), now, actions);
    } else if (now.isBefore(call.deadline())) {
      attempt(call, now, actions);
    } else {
      refuseCharged(
          call,
          Failure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the claim took too long; try again"),
          now,
          actions);
    }
  }

  private void replay(ClaimAction.Replay step, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.remove(step.request());
    if (call != null) {
      starts.ended(call.id());
      limits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
      actions.add(new GatewayAction.Replay(call.id(), step.answer()));
      actions.add(new RecordCall(call.id(), call.record(now, Usage.NONE, Optional.empty())));
    }
  }

  private StartQueue.Capacity capacity(Instant now) {
    return new ReachableCapacity(endpoints, directory, self, now);
  }

  /** Ends a request that was charged and never sent. */
  private void refuseCharged(
      RunningCall call, Failure failure, Instant now, List<GatewayAction> actions) {
    limits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
    refuse(call, failure, now, actions);
  }

  /** Forgets a request that was not sent; the end of one that was sent is reported as such. */
  private void drop(RequestId id, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(id);
    if (call == null || call.isAttempting()) {
      return;
    }
    forget(call, now);
    Failure dropped = DROPPED.withVerdict(Verdict.notRun());
    actions.add(new RecordCall(id, call.record(now, Usage.NONE, Optional.of(dropped))));
  }

  private void forget(RunningCall call, Instant now) {
    calls.remove(call.id());
    awaited.remove(call.id());
    if (starts.ended(call.id())) {
      limits(now).settle(call.customer(), call.estimatedTokens(), 0, now);
    }
  }

  private ShareHolder limits(Instant now) {
    if (limits == null) {
      limits = new ShareHolder(self.place(), floorSlots, now);
    }
    limits.configure(configuration.index().configuration(), now);
    return limits;
  }

  private void reportShares(Instant now, List<GatewayAction> actions) {
    limits(now)
        .tick(now)
        .ifPresent(m -> actions.add(new SendToPeer(m.to(), new PeerMessage.Limits(m.message()))));
  }

  private static long estimate(CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> c.promptTokens() + c.maxCompletionTokens();
      case CallBody.Plain p -> PLAIN_CALL_TOKENS;
    };
  }

  private void attempt(RunningCall call, Instant now, List<GatewayAction> actions) {
    var findServing = endpoints.findServing(call.route().service().name(), now);
    Optional<SendToEndpoint> attempt =
        attempts.begin(
            call,
            findServing,
            resident -> versions.choose(call, configuration.index(), resident, now),
            now);
    if (attempt.isPresent()) {
      call.endpoint().ifPresent(target -> versions.sent(call, target.version(), now));
      actions.add(attempt.get());
      return;
    }
    Failure none =
        Failure.notRunRetryAfter(
            ErrorCode.NO_ENDPOINT, "no endpoint can take the request; try again", RETRY_SOON);
    refuseCharged(call, call.withVerdictOfAll(none), now, actions);
  }

  private void answerBegan(GatewayEvent.ResponseStarted event, Instant now) {
    RunningCall call = calls.get(event.id());
    if (call != null && call.attempts() == event.attempt()) {
      call.answerBegan(now);
      versions.answerBegan(call.id(), now);
    }
  }

  private void keep(GatewayEvent.ReplayableResponseReceived event) {
    RunningCall call = calls.get(event.id());
    if (call != null && call.attempts() == event.attempt()) {
      call.keep(event.outcome());
    }
  }

  private void attemptEnded(
      GatewayEvent.AttemptEnded event, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(event.id());
    if (call == null || call.attempts() != event.attempt()) {
      return;
    }
    attempts.ended(call, event.end(), now);
    versions.ended(call.id(), event.end(), now);
    switch (event.end()) {
      case AttemptOutcome.Completed end ->
          finish(call, end.usage(), Optional.empty(), now, actions);
      case AttemptOutcome.CallerDisconnected end -> {
        claimed(claims.recordOutcome(call.id(), new CallOutcome.Unknown(), now), now, actions);
        finish(call, end.usage(), Optional.of(DROPPED), now, actions);
      }
      case AttemptOutcome.Failed end -> attemptFailed(call, end, now, actions);
    }
  }

  private void tellControls(RolloutMessage message, List<GatewayAction> actions) {
    for (HostId control : claims.controlHosts()) {
      actions.add(new SendToPeer(control, new PeerMessage.Rollouts(message)));
    }
  }

  private void attemptFailed(
      RunningCall call, AttemptOutcome.Failed end, Instant now, List<GatewayAction> actions) {
    Failure failure = call.withVerdictOfAll(end.failure());
    if (attempts.tryAgain(call, end.failure(), now)) {
      attempt(call, now, actions);
      return;
    }
    if (!call.hasAnswerBegun()) {
      actions.add(new Refuse(call.id(), failure));
    }
    finish(call, end.usage(), Optional.of(failure), now, actions);
  }

  private void finish(
      RunningCall call,
      Usage usage,
      Optional<Failure> failure,
      Instant now,
      List<GatewayAction> actions) {
    calls.remove(call.id());
    starts.ended(call.id());
    long used =
        switch (call.route().service()) {
          case Service.Model m -> usage.total();
          case Service.Plain p -> PLAIN_CALL_TOKENS;
        };
    limits(now).settle(call.customer(), call.estimatedTokens(), used, now);
    claimed(settleClaim(call, failure, now), now, actions);
    versions.ended(call.id(), new AttemptOutcome.CallerDisconnected(usage), now);
    actions.add(new RecordCall(call.id(), call.record(now, usage, failure)));
  }

  private List<ClaimAction> settleClaim(RunningCall call, Optional<Failure> failure, Instant now) {
    if (failure.isEmpty()) {
      return claims.recordOutcome(call.id(), call.completed(), now);
    }
    return switch (failure.get().verdict()) {
      case Verdict.NotRun v -> claims.releaseClaim(call.id(), now);
      case Verdict.MayHaveRun v -> claims.recordOutcome(call.id(), new CallOutcome.Unknown(), now);
      case Verdict.Ran v -> claims.recordOutcome(call.id(), new CallOutcome.AnswerLost(), now);
    };
  }

  /** Ends a request that certainly has not run. */
  private void refuse(RunningCall call, Failure failure, Instant now, List<GatewayAction> actions) {
    calls.remove(call.id());
    starts.ended(call.id());
    claimed(claims.releaseClaim(call.id(), now), now, actions);
    actions.add(new Refuse(call.id(), failure));
    actions.add(new RecordCall(call.id(), call.record(now, Usage.NONE, Optional.of(failure))));
  }

  private void listModels(GatewayEvent.ModelsRequested event, List<GatewayAction> actions) {
    if (event.key().flatMap(configuration.index()::customerByKey).isEmpty()) {
      actions.add(new Refuse(event.id(), CallRules.keyFailure(event.key())));
      return;
    }
    List<String> models =
        configuration.index().configuration().routes().values().stream()
            .filter(route -> route.service() instanceof Service.Model)
            .map(route -> route.service().name())
            .sorted()
            .toList();
    actions.add(new AnswerModels(event.id(), models));
  }

  private void listEntryHosts(GatewayEvent.EntryHostsRequested event, List<GatewayAction> actions) {
    Optional<Customer> customer = event.key().flatMap(configuration.index()::customerByKey);
    if (event.key().isPresent() && customer.isEmpty()) {
      actions.add(new Refuse(event.id(), CallRules.keyFailure(event.key())));
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
    actions.add(new AnswerEntryHosts(event.id(), directory.entryHosts(residency, self.place())));
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<GatewayAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> {
        Revision before = configuration.revision();
        peers.hear(peer, m.message(), now, actions);
        if (configuration.revision().isAfter(before)) {
          endWithdrawn(now, actions);
        }
      }
      case PeerMessage.Directory m -> peers.hear(peer, m.message(), actions);
      case PeerMessage.Idempotency m ->
          claimed(claims.onMessage(peer, m.message(), now), now, actions);
      case PeerMessage.Rollouts m -> hear(m.message(), now);
      case PeerMessage.Limits m -> {
        limits(now).onMessage(peer, m.message(), now);
        retryAwaited(now, actions);
        forward(forwarder.onSharesChanged(known(now), now), actions);
      }
      case PeerMessage.Consensus m -> {}
      case PeerMessage.Membership m -> peers.hear(peer, m.message(), now, actions);
    }
  }

  private void stop(Duration gracePeriod, Instant now, List<GatewayAction> actions) {
    if (stop.ask(gracePeriod, now)) {
      actions.add(new LogStop(new StopLogEvent.Requested(openRequests(), gracePeriod)));
      peers.accept(false, actions);
    }
  }

  /** Ends every running request whose key has been withdrawn. */
  private void endWithdrawn(Instant now, List<GatewayAction> actions) {
    List<RunningCall> withdrawn =
        calls.values().stream()
            .filter(
                call ->
                    rules
                        .customerOf(call.head())
                        .filter(customer -> customer.id().equals(call.customer().id()))
                        .isEmpty())
            .toList();
    String message = "the key was withdrawn while the request was running";
    withdrawn.forEach(call -> endEarly(call, ErrorCode.INVALID_KEY, message, now, actions));
  }

  private void endEarly(
      RunningCall call, ErrorCode code, String message, Instant now, List<GatewayAction> actions) {
    if (call.attempts() == 0) {
      forget(call, now);
      refuse(call, Failure.notRun(code, message), now, actions);
    } else if (call.hasAnswerBegun()) {
      actions.add(new CancelCall(call.id(), Failure.ran(code, message)));
    } else {
      Failure failure = Failure.mayHaveRun(code, message);
      attempts.ended(call, new AttemptOutcome.CallerDisconnected(Usage.NONE), now);
      actions.add(new Refuse(call.id(), failure));
      finish(call, Usage.NONE, Optional.of(failure), now, actions);
    }
  }

  private void hear(RolloutMessage message, Instant now) {
    switch (message) {
      case RolloutMessage.Steps steps -> versions.hear(steps.latestSteps(), now);
      case RolloutMessage.Report report -> {}
    }
  }
}
