package org.cuminwell.shell.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.gateway.AttemptOutcome;
import org.cuminwell.core.gateway.Gateway;
import org.cuminwell.core.gateway.GatewayAction;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.duty.StopTimeBudget;
import org.cuminwell.shell.duty.TimerDuty;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.exchange.ServerListener;
import org.cuminwell.shell.forward.ForwardFront;
import org.cuminwell.shell.forward.ForwardSettings;
import org.cuminwell.shell.forward.HeadGuard;
import org.cuminwell.shell.forward.RelayFront;
import org.cuminwell.shell.forward.WarmUp;
import org.cuminwell.shell.http.Listener;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.shell.metrics.StartSteps;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.shell.peer.PeerListener;
import org.cuminwell.shell.peer.PeerNode;
import org.cuminwell.shell.peer.PeerTls;
import org.jspecify.annotations.Nullable;

/**
 * Runs a gateway: network threads put events into one ring, the decide thread turns them into
 * actions in a second ring, and the dispatch thread starts the actions.
 *
 * <p>Thread safe.
 */
public final class GatewayProcess implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(GatewayProcess.class.getName());
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration LISTENER_LOG_PERIOD = Duration.ofSeconds(1);
  private static final Duration IDLE_CHECK_PERIOD = Duration.ofMillis(500);
  private static final int DISPATCH_RING = 65_536;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  /** How long the last bytes of answers may take to reach the sockets. */
  private static final Duration LAST_BYTES = Duration.ofMillis(100);

  private final MonotonicTime time = new MonotonicTime();
  private final Telemetry telemetry = new Telemetry(time);
  private final CrashLog crashLog = new CrashLog(telemetry);
  private final PendingCalls calls = new PendingCalls();
  private final EventSink events = new EventSink();
  private final Ring<GatewayAction> actions = new Ring<>(DISPATCH_RING);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final StartSteps steps = StartSteps.ofThisProcess();
  private final Gateway gateway;
  private final HttpEventLoops loops = new HttpEventLoops();
  private final Optional<PeerTls> tls;
  private final PeerNode peers;
  private final Optional<ApiFront> api;
  private final ClientConnections connections;
  private final RingDelay decidingDelay = new RingDelay();
  private final Optional<HeadGuard> headGuard;
  private final Optional<ForwardFront> forwarding;
  private final ConfigurationKeeper keeper;
  private final Duty<GatewayEvent> decide;
  private final Duty<GatewayAction> dispatch;
  private final TimerDuty timer;
  private final TimerDuty certificates;
  private final TimerDuty listenerLog;
  private final TimerDuty idleConnections;
  private volatile boolean ready;
  private volatile @Nullable Listener listener;
  private volatile @Nullable ServerListener forwardListener;
  private volatile @Nullable Listener innerListener;
  private volatile @Nullable RelayFront relay;

  private GatewayProcess(GatewaySettings settings) {
    steps.recordStepEnd("command_line");
    gateway =
        new Gateway(
            settings.self(),
            settings.floorSlots(),
            settings.forwarding().map(ForwardSettings::bounds).orElse(ForwardBounds.DEFAULT),
            settings.usageWindow(),
            new SplittableRandom());
    Optional<ConfigurationStore> store = settings.data().map(ConfigurationStore::new);
    Optional<Configuration> stored = store.flatMap(ConfigurationStore::load);
    stored.ifPresent(gateway::restore);
    keeper = new ConfigurationKeeper(store);
    api =
        settings.forwarding().isPresent()
            ? Optional.empty()
            : Optional.of(new ApiFront(calls, events));
    steps.recordStepEnd("api");
    tls = settings.tls().map(PeerTls::loadOrFail);
    peers = new PeerNode(settings.self().id(), listener(), tls);
    peers.registerGauges(telemetry);
    connections = new ClientConnections(loops, time, ClientConnections.NONE_IDLE);
    registerConnectionGauges();
    headGuard = settings.forwarding().filter(ForwardSettings::shedsLoad).map(this::headGuard);
    stored.ifPresent(this::configureHeadGuard);
    forwarding = settings.forwarding().map(this::forwardFront);
    decide = Duty.start("decide", events.ring(), this::decide);
    dispatch = Duty.start("dispatch", actions, this::perform);
    timer = TimerDuty.start("timer", TICK, this::offerTick);
    certificates =
        TimerDuty.start(
            "certificates", PeerTls.RELOAD_INTERVAL, () -> tls.ifPresent(PeerTls::reloadIfChanged));
    listenerLog = startListenerLog();
    idleConnections =
        TimerDuty.start("idle-connections", IDLE_CHECK_PERIOD, connections::closeExpired);
  }

  /**
   * Starts a gateway.
   *
   * @throws IllegalStateException if an address can't be used
   */
  public static GatewayProcess start(GatewaySettings settings) {
    GatewayProcess process = new GatewayProcess(settings);
    process.steps.recordStepEnd("duties");
    settings.forwarding().ifPresent(process::warmUp);
    process.steps.recordStepEnd("warm_up");
    OpsPages pages = new OpsPages(() -> process.ready, process.telemetry);
    InnerFront inner = new InnerFront(process.events, pages);
    process.headGuard.ifPresent(HeadGuard::start);
    process.listenForCallers(settings.self().callerAddress());
    RelayFront relay =
        new RelayFront(
            process.connections,
            process.time,
            inner::handle,
            settings.forwarding().map(process::departures).orElse(RelayFront.Departures.NONE));
    process.relay = relay;
    process.innerListener =
        HttpServer.bind(process.loops, settings.self().internalAddress(), relay::newConnection);
    settings.forwarding().ifPresent(process::serveReadiness);
    process.peers.listen(settings.self().peerAddress());
    settings.controls().forEach(process.peers::dial);
    settings.neighbours().forEach(process.peers::dial);
    process.steps.recordStepEnd("listen");
    LOG.log(System.Logger.Level.INFO, "gateway started at " + settings.self().callerAddress());
    return process;
  }

  /**
   * Ends the process gracefully: no new requests, and running ones finish as long as that fits.
   *
   * @param timeout how long the whole of it may take
   */
  public void stop(Duration timeout) throws InterruptedException {
    StopTimeBudget clock = StopTimeBudget.start(timeout, time.instant());
    api.ifPresent(front -> front.callers().closeConnections());
    ServerListener forwarded = forwardListener;
    if (forwarded != null) {
      forwarded.disableConnectionReuse();
    }
    events.force(new GatewayEvent.StopRequested(clock.drainTime()));
    stopped.await(clock.drainTimeLeft(time.instant()).toMillis(), TimeUnit.MILLISECONDS);
    endRelays(clock);
    endConnections(clock);
    close(clock.timeLeft(time.instant()));
    StopLog.write("stopped", clock.elapsed(time.instant()), clock.timeLeft(time.instant()));
  }

  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  private void close(Duration atMost) {
    timer.close();
    certificates.close();
    listenerLog.close();
    idleConnections.close();
    decide.close();
    dispatch.close();
    keeper.close();
    peers.close();
    api.ifPresent(front -> front.close(atMost));
    loops.close(atMost);
  }

  private void endRelays(StopTimeBudget clock) throws InterruptedException {
    RelayFront front = relay;
    if (front != null) {
      int cut = front.awaitIdle(clock.drainTimeLeft(time.instant()));
      StopLog.write(
          "relays_ended", cut, clock.elapsed(time.instant()), clock.timeLeft(time.instant()));
    }
  }

  /** Gives the answers that are still on their way the rest of the time but a moment. */
  private void endConnections(StopTimeBudget clock) throws InterruptedException {
    int cut = 0;
    for (Listener open : Stream.of(listener, innerListener).flatMap(Stream::ofNullable).toList()) {
      cut += open.drainConnections(clock.drainTimeLeft(time.instant()));
    }
    Thread.sleep(LAST_BYTES);
    StopLog.write(
        "connections_ended", cut, clock.elapsed(time.instant()), clock.timeLeft(time.instant()));
  }

  private void offerTick() {
    decidingDelay.recordOffered(time.instant());
    events.offer(new GatewayEvent.Ticked());
  }

  private void decide(GatewayEvent event) {
    if (event instanceof GatewayEvent.Ticked) {
      decidingDelay.recordTaken(time.instant());
    }
    for (GatewayAction action : gateway.handle(event, time.instant())) {
      if (action instanceof GatewayAction.StoreConfiguration) {
        steps.recordStepEnd("first_configuration");
      }
      if (!actions.offer(action)) {
        undo(action);
      }
    }
    ready = gateway.isReady();
    if (ready) {
      steps.recordLastStepEnd("ready");
    }
  }

  /** Answers an action that finds no room, so that nothing is left waiting. */
  private void undo(GatewayAction action) {
    Failure busy = Failure.notRun(ErrorCode.BUSY, "this host is busy; try again");
    switch (action) {
      case GatewayAction.SendToEndpoint a ->
          decide(
              new GatewayEvent.AttemptEnded(
                  a.id(), a.attempt(), new AttemptOutcome.Failed(busy, Usage.NONE)));
      case GatewayAction.ReadBody a -> {
        perform(new GatewayAction.Refuse(a.id(), busy));
        decide(new GatewayEvent.CallAborted(a.id()));
      }
      case GatewayAction.Forward f when f.action() instanceof ForwardAction.Send a ->
          decide(
              new GatewayEvent.Forwarded(
                  new ForwardEvent.AttemptEnded(
                      a.id(), a.attempt(), new ForwardAttemptOutcome.Failed(busy))));
      case GatewayAction.SendToPeer a -> telemetry.count("peer_messages_dropped", 1);
      default -> perform(action);
    }
  }

  private void perform(GatewayAction action) {
    switch (action) {
      case GatewayAction.ReadBody a -> withApi(a.id(), (front, call) -> front.readBody(call));
      case GatewayAction.Refuse a -> end(a.id(), (front, call) -> front.refuse(call, a.failure()));
      case GatewayAction.SendToEndpoint a ->
          api.ifPresent(front -> calls.with(a.id(), call -> front.endpoints().send(call, a)));
      case GatewayAction.Forward a -> {
        forwarding.ifPresent(front -> front.perform(a.action()));
        if (a.action() instanceof ForwardAction.Ended ended) {
          telemetry.record(ended.callRecord());
        }
      }
      case GatewayAction.Replay a -> end(a.id(), (front, call) -> front.replay(call, a.response()));
      case GatewayAction.ListModels a ->
          end(a.id(), (front, call) -> front.answerModels(call, a.models()));
      case GatewayAction.ListEntryHosts a ->
          end(a.id(), (front, call) -> front.answerEntryHosts(call, a.hosts()));
      case GatewayAction.SendToPeer a -> {
        if (!peers.send(a.peer(), a.message())) {
          telemetry.count("peer_messages_dropped", 1);
        }
      }
      case GatewayAction.Dial a -> peers.dial(a.address());
      case GatewayAction.StopReconnecting a -> peers.stopReconnecting(a.address());
      case GatewayAction.StoreConfiguration a -> {
        configureHeadGuard(a.configuration());
        keeper.keep(a.configuration());
      }
      case GatewayAction.AbortResponse a -> calls.with(a.id(), call -> call.cancel(a.failure()));
      case GatewayAction.RecordCall a -> {
        calls.remove(a.id());
        telemetry.record(a.callRecord());
      }
      case GatewayAction.CloseListener a -> closeListener();
      case GatewayAction.LogStopProgress a -> StopLog.write(a.event());
      case GatewayAction.LogCrashEvidence a -> crashLog.write(a.event());
      case GatewayAction.LogShares a -> ShareLog.write(a.event());
      case GatewayAction.ReportStopCompleted a -> stopped.countDown();
    }
  }

  private ForwardFront forwardFront(ForwardSettings settings) {
    return new ForwardFront(
        loops,
        time,
        connections,
        settings.dialect(),
        event -> events.offer(new GatewayEvent.Forwarded(event)),
        event -> events.force(new GatewayEvent.Forwarded(event)),
        headGuard);
  }

  private HeadGuard headGuard(ForwardSettings settings) {
    registerDecidingGauges();
    return new HeadGuard(
        loops,
        time,
        settings.dialect(),
        () -> decidingDelay.delay(time.instant()),
        new OverloadLog(telemetry));
  }

  private void registerDecidingGauges() {
    telemetry.gauge("deciding_delay_ms", () -> decidingDelay.delay(time.instant()).toMillis());
    telemetry.gauge("deciding_ring_depth", () -> events.ring().size());
  }

  private void configureHeadGuard(Configuration configuration) {
    headGuard.ifPresent(guard -> guard.configure(ConfigurationIndex.of(configuration)));
  }

  private RelayFront.Departures departures(ForwardSettings settings) {
    return new RelayFront.Departures() {
      @Override
      public boolean saysLeaving(ResponseStart response) {
        return settings.dialect().saysLeaving(response);
      }

      @Override
      public void onObserved(EndpointIncarnation endpoint) {
        events.force(new GatewayEvent.DepartureObserved(endpoint));
      }
    };
  }

  private void warmUp(ForwardSettings settings) {
    settings.warmUp().ifPresent(how -> WarmUp.run(loops, time, settings.dialect(), how));
  }

  private void serveReadiness(ForwardSettings settings) {
    settings
        .readinessAddress()
        .ifPresent(
            address ->
                HttpServer.bind(
                    loops,
                    address,
                    () -> new ReadinessConnection(settings.dialect(), () -> ready)));
  }

  private void registerConnectionGauges() {
    telemetry.gauge("client_connections_opened", connections::opened);
    telemetry.gauge("client_connections_reused", connections::reused);
    telemetry.gauge("client_connections_idle", connections::idle);
  }

  private TimerDuty startListenerLog() {
    ListenerLog callerLog = new ListenerLog("callers", () -> listener);
    ListenerLog relayLog = new ListenerLog("inner", () -> innerListener);
    callerLog.registerGauges(telemetry);
    relayLog.registerGauges(telemetry);
    return TimerDuty.start(
        "listener-log",
        LISTENER_LOG_PERIOD,
        () -> {
          callerLog.writeIfChanged();
          relayLog.writeIfChanged();
        });
  }

  private void closeListener() {
    Listener open = listener;
    RelayFront front = relay;
    if (open == null || front == null) {
      return;
    }
    front.refuseNewRequests();
    Instant begun = time.instant();
    var _ =
        open.unbind()
            .thenRun(
                () -> StopLog.write("listener_closed", Duration.between(begun, time.instant())));
  }

  private void listenForCallers(HostAddress address) {
    if (forwarding.isPresent()) {
      ServerListener bound = HttpServer.bind(loops, address, forwarding.get()::newConnection);
      forwardListener = bound;
      listener = bound;
    }
    api.ifPresent(front -> listener = front.listen(address));
  }

  private void withApi(RequestId id, BiConsumer<CallerFront, PendingCall> step) {
    api.ifPresent(front -> calls.with(id, call -> step.accept(front.callers(), call)));
  }

  private void end(RequestId id, BiConsumer<CallerFront, PendingCall> step) {
    withApi(id, step);
    calls.remove(id);
  }

  private PeerListener listener() {
    return new PeerListener() {
      @Override
      public void onConnected(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "connected to " + peer);
        events.offer(new GatewayEvent.PeerConnected(peer));
      }

      @Override
      public void onDisconnected(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "lost " + peer);
        events.offer(new GatewayEvent.PeerDisconnected(peer));
      }

      @Override
      public void onMessage(HostId peer, PeerMessage message) {
        events.offer(new GatewayEvent.PeerMessageReceived(peer, message));
      }
    };
  }
}
