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
import java.util.TreeSet;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.gateway.GatewayAction.AnswerEntryHosts;
import org.cuminwell.core.gateway.GatewayAction.AnswerModels;
import org.cuminwell.core.gateway.GatewayAction.CloseListener;
import org.cuminwell.core.gateway.GatewayAction.Count;
import org.cuminwell.core.gateway.GatewayAction.ReadBody;
import org.cuminwell.core.gateway.GatewayAction.Refuse;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayAction.Stopped;
import org.cuminwell.core.gateway.GatewayAction.TellPeer;
import org.cuminwell.core.limit.CustomerLimits;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.residency.Residency;

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

  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final HostDirectory directory = new HostDirectory();
  private final EndpointTable endpoints = new EndpointTable();
  private final CustomerLimits limits = new CustomerLimits();
  private final Attempts attempts;
  private final Map<RequestId, RunningCall> calls = new HashMap<>();
  private final Set<HostId> peers = new TreeSet<>();
  private final GracefulStop stop = new GracefulStop();
  private HostDescription self;

  /**
   * Makes the state of the gateway that {@code self} describes; routing draws by {@code random}.
   */
  public Gateway(HostDescription self, SplittableRandom random) {
    this.self = self;
    this.attempts = new Attempts(self.place(), random);
    directory.learn(List.of(self));
  }

  /** Returns what to do about the event, in order. */
  public List<GatewayAction> handle(GatewayEvent event, Instant now) {
    List<GatewayAction> actions = new ArrayList<>();
    switch (event) {
      case GatewayEvent.CallOpened e -> open(e.head(), now, actions);
      case GatewayEvent.CallRead e -> admit(e.body(), now, actions);
      case GatewayEvent.CallDropped e -> dropped(e.id(), now, actions);
      case GatewayEvent.AnswerBegan e -> answerBegan(e, now);
      case GatewayEvent.AttemptEnded e -> attemptEnded(e, now, actions);
      case GatewayEvent.ModelsAsked e -> listModels(e, actions);
      case GatewayEvent.EntryHostsAsked e -> listEntryHosts(e, actions);
      case GatewayEvent.EndpointAnnounced e -> endpoints.announce(e.announcement(), now);
      case GatewayEvent.EndpointReported e -> endpoints.report(e.report());
      case GatewayEvent.EndpointLeft e -> endpoints.leave(e.endpoint(), e.incarnation());
      case GatewayEvent.PeerConnected e -> greet(e.peer(), actions);
      case GatewayEvent.PeerLost e -> peers.remove(e.peer());
      case GatewayEvent.PeerHeard e -> hear(e.peer(), e.message(), actions);
      case GatewayEvent.Ticked e -> tick(now, actions);
      case GatewayEvent.StopAsked e -> stop(now, actions);
    }
    return actions;
  }

  /** Returns whether requests can be answered. */
  public boolean isReady() {
    return configuration.isReady() && !stop.isAsked();
  }

  private void stop(Instant now, List<GatewayAction> actions) {
    if (!stop.ask(now)) {
      return;
    }
    self = self.asStopping();
    directory.learn(List.of(self));
    peers.forEach(peer -> actions.add(tell(peer, new DirectoryMessage.Here(self))));
  }

  private void tick(Instant now, List<GatewayAction> actions) {
    endpoints.expire(now);
    attempts.tick(now);
    if (stop.refuses(now)) {
      actions.add(new CloseListener());
    }
    if (stop.isDone(calls.isEmpty(), now)) {
      actions.add(new Stopped());
    }
  }

  /** Forgets a request that was never sent; the end of one that was sent is reported as such. */
  private void dropped(RequestId id, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(id);
    if (call == null || call.isAttempting()) {
      return;
    }
    limits.settle(call.customer(), call.estimate(), 0, now);
    calls.remove(id);
    Failure left = DROPPED.withVerdict(Verdict.notRun());
    actions.add(new Count(id, call.record(now, Usage.NONE, Optional.of(left))));
  }

  private void open(CallHead head, Instant now, List<GatewayAction> actions) {
    Optional<Failure> refusal = refusalOfHead(head, now);
    if (refusal.isPresent()) {
      actions.add(new Refuse(head.id(), refusal.get()));
      return;
    }
    Customer customer = customerOf(head).orElseThrow();
    calls.put(head.id(), new RunningCall(head, customer, now));
    actions.add(new ReadBody(head.id()));
  }

  private Optional<Failure> refusalOfHead(CallHead head, Instant now) {
    if (stop.refuses(now)) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.STOPPING, "this host is stopping; use another entry host", RETRY_SOON));
    }
    if (!configuration.isReady()) {
      return Optional.of(
          Failure.notRunRetryAfter(
              ErrorCode.NOT_READY, "this host has no configuration yet; try again", RETRY_SOON));
    }
    Optional<Route> route = routeOf(head.target());
    if (namesRoute(head.target()) && route.isEmpty()) {
      return Optional.of(Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "there is no such route"));
    }
    Optional<Customer> customer = customerOf(head);
    if (customer.isEmpty()) {
      return Optional.of(keyFailure(head.key()));
    }
    Residency residency = Residency.of(customer.get()).and(readableFor(route));
    return residency.allows(self.place().region())
        ? Optional.empty()
        : Optional.of(wrongRegion(residency));
  }

  /**
   * Returns where the body may be read. While the route is unknown, every model route counts, so
   * that a bound body is never read in the wrong region.
   */
  private Residency readableFor(Optional<Route> route) {
    if (route.isPresent()) {
      return Residency.of(route.get().boundTo());
    }
    return configuration.index().configuration().routes().values().stream()
        .filter(r -> r.service() instanceof Service.Model)
        .map(r -> Residency.of(r.boundTo()))
        .reduce(new Residency.Unbound(), Residency::and);
  }

  private Optional<Route> routeOf(CallHead.Target target) {
    ConfigurationIndex index = configuration.index();
    return switch (target) {
      case CallHead.Target.Completion c ->
          c.route().flatMap(index::route).filter(r -> r.service() instanceof Service.Model);
      case CallHead.Target.Plain p ->
          index.route(p.route()).filter(r -> r.service() instanceof Service.Plain);
    };
  }

  private static boolean namesRoute(CallHead.Target target) {
    return switch (target) {
      case CallHead.Target.Completion c -> c.route().isPresent();
      case CallHead.Target.Plain p -> true;
    };
  }

  private Optional<Customer> customerOf(CallHead head) {
    ConfigurationIndex index = configuration.index();
    return head.key()
        .map(index::customerByKey)
        .orElseGet(
            () ->
                routeOf(head.target())
                    .flatMap(Route::openAs)
                    .map(id -> index.configuration().customers().get(id)));
  }

  private static Failure keyFailure(Optional<KeyHash> key) {
    return key.isPresent()
        ? Failure.notRun(ErrorCode.INVALID_KEY, "the key does not work; ask for a new one")
        : Failure.notRun(
            ErrorCode.MISSING_KEY, "send the key in the header 'Authorization: Bearer KEY'");
  }

  private static Failure wrongRegion(Residency residency) {
    String regions =
        residency.regionsIfBound().stream()
            .flatMap(r -> r.stream())
            .sorted()
            .map(Object::toString)
            .reduce((a, b) -> a + ", " + b)
            .orElse("none");
    return Failure.notRun(
        ErrorCode.WRONG_REGION,
        "this request is bound to region "
            + regions
            + "; ask GET /v1/entry-hosts?route=ROUTE, and for completions name the route in the"
            + " header Cuminwell-Route");
  }

  private void admit(CallBody body, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(body.id());
    if (call == null) {
      return;
    }
    Optional<Route> route = routeOf(call.head().target(), body);
    if (route.isEmpty()) {
      refuse(
          call, Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "no route serves the model"), now, actions);
      return;
    }
    long estimate = estimate(body);
    call.resolve(route.get(), estimate);
    if (body instanceof CallBody.Completion completion) {
      call.describe(completion);
    }
    Residency residency = Residency.of(call.customer(), route.get());
    if (!residency.allows(self.place().region())) {
      refuse(call, wrongRegion(residency), now, actions);
      return;
    }
    Optional<Duration> wait = limits.admit(call.customer(), estimate, now);
    if (wait.isPresent()) {
      refuse(
          call,
          Failure.notRunRetryAfter(
              ErrorCode.RATE_LIMITED, "the token limit is reached; wait and retry", wait.get()),
          now,
          actions);
      return;
    }
    attempt(call, now, actions);
  }

  private Optional<Route> routeOf(CallHead.Target target, CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> {
        Optional<Route> byModel = configuration.index().routeByModel(c.model());
        Optional<Route> byHeader = routeOf(target);
        yield namesRoute(target) ? byHeader.filter(r -> byModel.equals(byHeader)) : byModel;
      }
      case CallBody.Plain p -> routeOf(target);
    };
  }

  private static long estimate(CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> c.promptTokens() + c.maxCompletionTokens();
      case CallBody.Plain p -> PLAIN_CALL_TOKENS;
    };
  }

  private void attempt(RunningCall call, Instant now, List<GatewayAction> actions) {
    var serving = endpoints.serving(call.route().service().name(), now);
    Optional<SendToEndpoint> attempt = attempts.begin(call, serving, now);
    if (attempt.isPresent()) {
      actions.add(attempt.get());
      return;
    }
    limits.settle(call.customer(), call.estimate(), 0, now);
    Failure none =
        Failure.notRunRetryAfter(
            ErrorCode.NO_ENDPOINT, "no endpoint can take the request; try again", RETRY_SOON);
    refuse(call, call.withVerdictOfAll(none), now, actions);
  }

  private void answerBegan(GatewayEvent.AnswerBegan event, Instant now) {
    RunningCall call = calls.get(event.id());
    if (call != null && call.attempts() == event.attempt()) {
      call.answerBegan(now);
    }
  }

  private void attemptEnded(
      GatewayEvent.AttemptEnded event, Instant now, List<GatewayAction> actions) {
    RunningCall call = calls.get(event.id());
    if (call == null || call.attempts() != event.attempt()) {
      return;
    }
    attempts.ended(call, event.end(), now);
    switch (event.end()) {
      case AttemptEnd.Completed end -> finish(call, end.usage(), Optional.empty(), now, actions);
      case AttemptEnd.CallerLeft end ->
          finish(call, end.used(), Optional.of(DROPPED), now, actions);
      case AttemptEnd.Failed end -> attemptFailed(call, end, now, actions);
    }
  }

  private void attemptFailed(
      RunningCall call, AttemptEnd.Failed end, Instant now, List<GatewayAction> actions) {
    Failure failure = call.withVerdictOfAll(end.failure());
    if (attempts.tryAgain(call, end.failure(), now)) {
      attempt(call, now, actions);
      return;
    }
    if (!call.hasAnswerBegun()) {
      actions.add(new Refuse(call.id(), failure));
    }
    finish(call, end.used(), Optional.of(failure), now, actions);
  }

  private void finish(
      RunningCall call,
      Usage usage,
      Optional<Failure> failure,
      Instant now,
      List<GatewayAction> actions) {
    calls.remove(call.id());
    long used =
        switch (call.route().service()) {
          case Service.Model m -> usage.total();
          case Service.Plain p -> PLAIN_CALL_TOKENS;
        };
    limits.settle(call.customer(), call.estimate(), used, now);
    actions.add(new Count(call.id(), call.record(now, usage, failure)));
  }

  /** Ends a request that was never sent. */
  private void refuse(RunningCall call, Failure failure, Instant now, List<GatewayAction> actions) {
    calls.remove(call.id());
    actions.add(new Refuse(call.id(), failure));
    actions.add(new Count(call.id(), call.record(now, Usage.NONE, Optional.of(failure))));
  }

  private void listModels(GatewayEvent.ModelsAsked event, List<GatewayAction> actions) {
    if (event.key().flatMap(configuration.index()::customerByKey).isEmpty()) {
      actions.add(new Refuse(event.id(), keyFailure(event.key())));
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

  private void listEntryHosts(GatewayEvent.EntryHostsAsked event, List<GatewayAction> actions) {
    Optional<Customer> customer = event.key().flatMap(configuration.index()::customerByKey);
    if (event.key().isPresent() && customer.isEmpty()) {
      actions.add(new Refuse(event.id(), keyFailure(event.key())));
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
            .and(Residency.of(route.map(Route::boundTo).orElse(java.util.Set.of())));
    actions.add(new AnswerEntryHosts(event.id(), directory.entryHosts(residency, self.place())));
  }

  private void greet(HostId peer, List<GatewayAction> actions) {
    peers.add(peer);
    actions.add(tell(peer, new DirectoryMessage.Here(self)));
    actions.add(tell(peer, new DistributionMessage.Held(configuration.revision())));
  }

  private void hear(HostId peer, PeerMessage message, List<GatewayAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> hear(peer, m.message(), actions);
      case PeerMessage.Directory m -> hear(m.message());
    }
  }

  private void hear(HostId peer, DistributionMessage message, List<GatewayAction> actions) {
    switch (message) {
      case DistributionMessage.Full full -> {
        configuration.offer(full.configuration());
        actions.add(tell(peer, new DistributionMessage.Held(configuration.revision())));
      }
      case DistributionMessage.Held held -> {}
    }
  }

  private void hear(DirectoryMessage message) {
    switch (message) {
      case DirectoryMessage.Here here -> directory.learn(List.of(here.host()));
      case DirectoryMessage.Hosts all -> directory.learn(all.hosts());
    }
  }

  private static TellPeer tell(HostId peer, DirectoryMessage message) {
    return new TellPeer(peer, new PeerMessage.Directory(message));
  }

  private static TellPeer tell(HostId peer, DistributionMessage message) {
    return new TellPeer(peer, new PeerMessage.Distribution(message));
  }
}
