package org.cuminwell.shell.control;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.control.AgreementStatus;
import org.cuminwell.core.control.Control;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.duty.DutyStatus;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.duty.StopTimeBudget;
import org.cuminwell.shell.duty.TimerDuty;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.ServerListener;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.shell.journal.Journal;
import org.cuminwell.shell.journal.JournalDuty;
import org.cuminwell.shell.metrics.StartSteps;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.shell.peer.PeerListener;
import org.cuminwell.shell.peer.PeerNode;
import org.cuminwell.shell.peer.PeerTls;
import org.cuminwell.wire.CommandCodec;

/**
 * Runs a control host: network threads put events into one ring, and the decide thread turns them
 * into actions that a dispatch thread starts.
 *
 * <p>Thread safe.
 */
public final class ControlProcess implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(ControlProcess.class.getName());
  private static final Duration TICK_PERIOD = Duration.ofMillis(50);
  private static final int RING_CAPACITY = 16_384;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final MonotonicTime time = new MonotonicTime();
  private final Telemetry telemetry = new Telemetry(InstantSource.system());
  private final Ring<ControlEvent> events = new Ring<>(RING_CAPACITY);
  private final Ring<ControlAction> actions = new Ring<>(RING_CAPACITY);
  private final Journal journal;
  private final JournalDuty journalDuty;
  private final Control control;
  private final StartSteps startSteps = StartSteps.ofThisProcess();
  private volatile AgreementStatus status;
  private volatile DutyStatus dutyStatus = DutyStatus.NONE;
  private final HttpSystem http;
  private final Optional<PeerTls> tls;
  private final PeerNode peers;
  private final HostAddress peerAddress;
  private final OperatorFrontEnd operatorFrontEnd;
  private final ControlRequests requests;
  private final MoveLog rolloutLog = new MoveLog();
  private final DutyLog dutyLog = new DutyLog(telemetry);
  private final Optional<DutyClient> dutyClient;
  private final Duty<ControlEvent> decideDuty;
  private final Duty<ControlAction> dispatchDuty;
  private final TimerDuty tickTimer;
  private final TimerDuty certificateReloadTimer;
  private final List<ServerBinding> httpBindings = new CopyOnWriteArrayList<>();
  private final HttpEventLoops loops = new HttpEventLoops();
  private final List<ServerListener> frontEndListeners = new CopyOnWriteArrayList<>();

  private ControlProcess(ControlSettings settings) {
    startSteps.recordStepEnd("command_line");
    peerAddress = settings.peerAddress();
    journal = Journal.open(settings.agreement().dataFolder(), () -> initialHardState(settings));
    Set<HostAddress> controlAddresses = new HashSet<>(settings.controlAddresses());
    journal
        .recovered()
        .hardState()
        .founding()
        .ifPresent(founding -> controlAddresses.addAll(founding.addresses()));
    controlAddresses.add(settings.peerAddress());
    control =
        new Control(
            settings.self(),
            controlAddresses,
            createStateMachine(settings),
            settings.duties().map(DutyClientSettings::duties),
            time.instant());
    status = control.agreementStatus(time.instant());
    startSteps.recordStepEnd("journal");
    http = HttpSystem.start("control");
    startSteps.recordStepEnd("actor_system");
    tls = settings.tls().map(PeerTls::loadOrFail);
    peers = new PeerNode(settings.self(), createPeerListener(), tls);
    peers.registerGauges(telemetry);
    telemetry.gauge("agreement_term", () -> status.term());
    telemetry.gauge("agreement_applied_index", () -> status.appliedIndex());
    telemetry.gauge("agreement_leads", () -> status.leads() ? 1L : 0L);
    telemetry.gauge("agreement_voters", () -> status.membership().voters().size());
    telemetry.gauge("agreement_losses_borne", () -> status.lossesBorne());
    settings.duties().ifPresent(d -> dutyLog.registerGauges(d.duties().duties(), () -> dutyStatus));
    OpsPages pages = new OpsPages(() -> status.leader().isPresent(), telemetry);
    operatorFrontEnd =
        new OperatorFrontEnd(
            http, pages, settings.access(), events::offer, control.view(time.instant()));
    requests = new ControlRequests(events::offer, control.view(time.instant()));
    journalDuty = new JournalDuty(journal, this::onJournalSynced, telemetry);
    dutyClient =
        settings
            .duties()
            .map(duties -> new DutyClient(duties.api(), duties.format(), time, this::onCallEnded));
    decideDuty = Duty.start("decide", events, this::decide);
    dispatchDuty = Duty.start("dispatch", actions, this::perform);
    tickTimer =
        TimerDuty.start("timer", TICK_PERIOD, () -> events.offer(new ControlEvent.Ticked()));
    certificateReloadTimer =
        TimerDuty.start(
            "certificates", PeerTls.RELOAD_INTERVAL, () -> tls.ifPresent(PeerTls::reloadIfChanged));
  }

  /**
   * Starts a control host and its listeners.
   *
   * @throws IllegalStateException if an address can't be used
   */
  public static ControlProcess start(ControlSettings settings) {
    ControlProcess process = new ControlProcess(settings);
    process.startSteps.recordStepEnd("duties");
    process.serve(settings.operatorAddress(), process.operatorFrontEnd::handle);
    for (AdditionalFrontEnd front : settings.frontEnds()) {
      process.serve(front);
    }
    process.peers.listen(settings.peerAddress());
    process.dialOthers(settings.controlAddresses());
    process.startSteps.recordStepEnd("listen");
    LOG.log(System.Logger.Level.INFO, "control host started at " + settings.operatorAddress());
    return process;
  }

  /**
   * Stops the process gracefully: accepts no new requests, and answers the pending ones.
   *
   * @param timeout the maximum duration of the whole stop
   */
  public void stop(Duration timeout) {
    StopTimeBudget clock = StopTimeBudget.start(timeout, time.instant());
    LOG.log(System.Logger.Level.INFO, "stopping; pending requests: " + requests.pendingCount());
    CompletableFuture<?>[] terminations =
        httpBindings.stream()
            .map(binding -> binding.terminate(clock.drainTime()).toCompletableFuture())
            .toArray(CompletableFuture[]::new);
    drainFrontEnds(clock);
    CompletableFuture.allOf(terminations)
        .completeOnTimeout(
            null, clock.drainTimeLeft(time.instant()).toMillis(), TimeUnit.MILLISECONDS)
        .join();
    LOG.log(
        System.Logger.Level.INFO,
        () ->
            "listeners closed after "
                + clock.elapsed(time.instant()).toMillis()
                + " ms; requests cut off: "
                + requests.pendingCount());
    close(clock.timeLeft(time.instant()));
    LOG.log(
        System.Logger.Level.INFO,
        () -> "stopped after " + clock.elapsed(time.instant()).toMillis() + " ms");
  }

  /** Answers the pending requests of the additional front ends, and closes their connections. */
  private void drainFrontEnds(StopTimeBudget clock) {
    frontEndListeners.forEach(ServerListener::unbind);
    try {
      for (ServerListener listener : frontEndListeners) {
        listener.drainConnections(clock.drainTimeLeft(time.instant()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  private void close(Duration timeout) {
    tickTimer.close();
    certificateReloadTimer.close();
    decideDuty.close();
    dispatchDuty.close();
    journalDuty.close();
    dutyClient.ifPresent(DutyClient::close);
    peers.close();
    loops.close(timeout);
    http.close(timeout);
  }

  private void serve(
      HostAddress address, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    httpBindings.add(http.serve(address, handler));
  }

  private void serve(AdditionalFrontEnd front) {
    FrontEndHandler handler = front.handlerFactory().createHandler(requests);
    frontEndListeners.add(
        HttpServer.bindTimed(
            loops,
            front.address(),
            time,
            () -> new FrontEndConnection(loops.exchangeLoop(), handler)));
  }

  /** Handles one event on the decide thread and queues the resulting actions. */
  private void decide(ControlEvent event) {
    for (ControlAction action : control.handle(event, time.instant())) {
      if (action instanceof ControlAction.WriteJournal write) {
        journalDuty.enqueue(write.write());
      } else if (!actions.offer(action)) {
        telemetry.count("actions_dropped", 1);
      }
    }
    recordStatus(control.agreementStatus(time.instant()));
    dutyStatus = control.dutyStatus();
  }

  /**
   * Publishes the consensus status to metrics and health checks, logs it when a role changes, and
   * marks the start as complete once a leader is known.
   */
  private void recordStatus(AgreementStatus latest) {
    if (!latest.hasSameRoles(status)) {
      LOG.log(System.Logger.Level.INFO, "agreement: " + latest.describe());
    }
    status = latest;
    if (latest.leader().isPresent()) {
      startSteps.recordLastStepEnd("ready");
    }
  }

  /**
   * Passes a completed journal sync to the decide thread. Blocks the journal's thread while the
   * ring is full, which can't deadlock because the decide thread never waits for the journal's
   * thread.
   */
  private void onJournalSynced(long sequence) {
    try {
      events.put(new ControlEvent.JournalSynced(sequence));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void onCallEnded(DutyCall call, DutyCall.Result result) {
    events.offer(new ControlEvent.DutyCallEnded(call, result));
  }

  private ReplicatedStateMachine createStateMachine(ControlSettings settings) {
    return new ReplicatedStateMachine(
        settings.self(),
        settings.peerAddress(),
        journal.recovered(),
        new SplittableRandom(new SecureRandom().nextLong()),
        LogLimits.forHeap(Runtime.getRuntime().maxMemory()),
        CommandCodec::roundTrip,
        time.instant());
  }

  /** Returns the state of an empty journal: a founder's when bootstrapping. */
  private static HardState initialHardState(ControlSettings settings) {
    long incarnation =
        new SplittableRandom(new SecureRandom().nextLong()).nextLong(1, Long.MAX_VALUE);
    return settings.agreement().bootstrap()
        ? HardState.founding(
            new Founding(settings.agreement().founders(), Set.copyOf(settings.controlAddresses())),
            incarnation)
        : HardState.joining(incarnation);
  }

  /** Carries out one action on the dispatch thread. */
  private void perform(ControlAction action) {
    switch (action) {
      case ControlAction.AnswerTicket a -> operatorFrontEnd.completeWithAnswer(a.id(), a.answer());
      case ControlAction.AnswerFailure a -> {
        operatorFrontEnd.completeWithFailure(a.id(), a.failure());
        requests.complete(a);
      }
      case ControlAction.Answer a -> requests.complete(a);
      case ControlAction.WriteJournal a -> journalDuty.enqueue(a.write());
      case ControlAction.SendToPeer a -> {
        if (!peers.send(a.peer(), a.message())) {
          telemetry.count("peer_messages_dropped", 1);
        }
      }
      case ControlAction.DialControlHosts a -> dialOthers(a.addresses());
      case ControlAction.LogOrder a -> OrderLog.write(a.decision());
      case ControlAction.LogDuty a -> dutyLog.write(a.event());
      case ControlAction.CallPlatform a -> dutyClient.ifPresent(client -> client.enqueue(a));
      case ControlAction.PublishView a -> {
        operatorFrontEnd.updateView(a.view());
        rolloutLog.logChanges(a.view().configuration());
        requests.updateView(a.view());
      }
    }
  }

  /** Connects to the control hosts at the addresses, apart from this one. */
  private void dialOthers(Collection<HostAddress> addresses) {
    addresses.stream().filter(address -> !address.equals(peerAddress)).forEach(peers::dial);
  }

  private PeerListener createPeerListener() {
    return new PeerListener() {
      @Override
      public void onConnected(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "connected to " + peer);
        events.offer(new ControlEvent.PeerConnected(peer));
      }

      @Override
      public void onDisconnected(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "lost " + peer);
        events.offer(new ControlEvent.PeerDisconnected(peer));
      }

      @Override
      public void onMessage(HostId peer, PeerMessage message) {
        events.offer(new ControlEvent.PeerMessageReceived(peer, message));
      }
    };
  }
}
