package org.cuminwell.shell.control;

import java.security.SecureRandom;
import java.time.Duration;
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
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.control.AgreementStatus;
import org.cuminwell.core.control.Control;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.duty.StopTimeBudget;
import org.cuminwell.shell.duty.TimerDuty;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.shell.journal.Journal;
import org.cuminwell.shell.journal.JournalDuty;
import org.cuminwell.shell.metrics.StartSteps;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.shell.peer.PeerListener;
import org.cuminwell.shell.peer.PeerNode;
import org.cuminwell.shell.peer.PeerTls;

/**
 * Runs a control host: network threads put events into one ring, and the decide thread turns them
 * into actions that a dispatch thread starts.
 *
 * <p>Thread safe.
 */
public final class ControlProcess implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(ControlProcess.class.getName());
  private static final Duration TICK = Duration.ofMillis(50);
  private static final int RING = 16_384;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final MonotonicTime time = new MonotonicTime();
  private final Telemetry telemetry = new Telemetry();
  private final Ring<ControlEvent> events = new Ring<>(RING);
  private final Ring<ControlAction> actions = new Ring<>(RING);
  private final Journal journal;
  private final JournalDuty journalDuty;
  private final Control control;
  private final StartSteps steps = StartSteps.ofThisProcess();
  private volatile AgreementStatus status;
  private final HttpSystem http;
  private final Optional<PeerTls> tls;
  private final PeerNode peers;
  private final OperatorFront operators;
  private final ControlRequests requests;
  private final MoveLog moves = new MoveLog();
  private final Duty<ControlEvent> decide;
  private final Duty<ControlAction> dispatch;
  private final TimerDuty timer;
  private final TimerDuty certificates;
  private final List<ServerBinding> listeners = new CopyOnWriteArrayList<>();

  private ControlProcess(ControlSettings settings) {
    steps.recordStepEnd("command_line");
    journal = Journal.open(settings.agreement().data(), () -> fresh(settings.agreement()));
    Set<HostAddress> controls = new HashSet<>(settings.controls());
    controls.add(settings.peer());
    control = new Control(settings.self(), controls, agreement(settings));
    status = control.agreementStatus(time.instant());
    steps.recordStepEnd("journal");
    http = HttpSystem.start("control");
    steps.recordStepEnd("actor_system");
    tls = settings.tls().map(PeerTls::loadOrFail);
    peers = new PeerNode(settings.self(), listener(), tls);
    peers.registerGauges(telemetry);
    telemetry.gauge("agreement_term", () -> status.term());
    telemetry.gauge("agreement_applied_index", () -> status.appliedIndex());
    telemetry.gauge("agreement_leads", () -> status.leads() ? 1L : 0L);
    OpsPages pages = new OpsPages(() -> status.leader().isPresent(), telemetry);
    operators = new OperatorFront(http, pages, settings.access(), events::offer, control.view());
    requests = new ControlRequests(events::offer, control.view());
    journalDuty = new JournalDuty(journal, this::synced, telemetry);
    decide = Duty.start("decide", events, this::decide);
    dispatch = Duty.start("dispatch", actions, this::perform);
    timer = TimerDuty.start("timer", TICK, () -> events.offer(new ControlEvent.Ticked()));
    certificates =
        TimerDuty.start(
            "certificates", PeerTls.RELOAD_INTERVAL, () -> tls.ifPresent(PeerTls::reloadIfChanged));
  }

  /**
   * Starts a control host.
   *
   * @throws IllegalStateException if an address can't be used
   */
  public static ControlProcess start(ControlSettings given) {
    ControlSettings settings = FoundingRecord.apply(given);
    ControlProcess process = new ControlProcess(settings);
    process.steps.recordStepEnd("duties");
    process.serve(settings.operators(), process.operators::handle);
    for (AddedFront front : settings.fronts()) {
      process.serve(front.address(), front.maker().make(process.http, process.requests));
    }
    process.peers.listen(settings.peer());
    settings.controls().stream()
        .filter(address -> dials(settings, address))
        .forEach(process.peers::dial);
    process.steps.recordStepEnd("listen");
    LOG.log(System.Logger.Level.INFO, "control host started at " + settings.operators());
    return process;
  }

  /**
   * Ends the process gracefully: takes no new calls, and answers those that are under way.
   *
   * @param timeout how long the whole of it may take
   */
  public void stop(Duration timeout) {
    StopTimeBudget clock = StopTimeBudget.start(timeout, time.instant());
    LOG.log(System.Logger.Level.INFO, "stopping; orders under way: " + requests.underWay());
    CompletableFuture<?>[] ended =
        listeners.stream()
            .map(listener -> listener.terminate(clock.drainTime()).toCompletableFuture())
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(ended)
        .completeOnTimeout(
            null, clock.drainTimeLeft(time.instant()).toMillis(), TimeUnit.MILLISECONDS)
        .join();
    LOG.log(
        System.Logger.Level.INFO,
        () ->
            "listeners closed after "
                + clock.elapsed(time.instant()).toMillis()
                + " ms; orders cut: "
                + requests.underWay());
    close(clock.timeLeft(time.instant()));
    LOG.log(
        System.Logger.Level.INFO,
        () -> "stopped after " + clock.elapsed(time.instant()).toMillis() + " ms");
  }

  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  private void close(Duration atMost) {
    timer.close();
    certificates.close();
    decide.close();
    dispatch.close();
    journalDuty.close();
    peers.close();
    http.close(atMost);
  }

  private void serve(
      HostAddress address, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    listeners.add(http.serve(address, handler));
  }

  private void decide(ControlEvent event) {
    for (ControlAction action : control.handle(event, time.instant())) {
      if (action instanceof ControlAction.WriteJournal write) {
        journalDuty.enqueue(write.write());
      } else if (!actions.offer(action)) {
        telemetry.count("actions_dropped", 1);
      }
    }
    note(control.agreementStatus(time.instant()));
  }

  private void note(AgreementStatus latest) {
    if (!latest.hasSameRoles(status)) {
      LOG.log(System.Logger.Level.INFO, "agreement: " + latest);
    }
    status = latest;
    if (latest.leader().isPresent()) {
      steps.recordLastStepEnd("ready");
    }
  }

  /**
   * Passes on a sync; the journal's thread may wait, since the decide thread never waits for it.
   */
  private void synced(long sequence) {
    try {
      events.put(new ControlEvent.JournalSynced(sequence));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ReplicatedStateMachine agreement(ControlSettings settings) {
    return new ReplicatedStateMachine(
        settings.self(),
        settings.agreement().voters(),
        journal.recovered(),
        new SplittableRandom(new SecureRandom().nextLong()),
        ReplicatedStateMachine.MAX_LOG_ENTRIES,
        time.instant());
  }

  private static HardState fresh(AgreementSettings settings) {
    return settings.bootstrap()
        ? HardState.founding()
        : HardState.learner(new SecureRandom().nextLong());
  }

  private void perform(ControlAction action) {
    switch (action) {
      case ControlAction.AnswerTicket a -> operators.answer(a.id(), a.answer());
      case ControlAction.AnswerFailure a -> {
        operators.fail(a.id(), a.failure());
        requests.answer(a);
      }
      case ControlAction.Answer a -> requests.answer(a);
      case ControlAction.WriteJournal a -> journalDuty.enqueue(a.write());
      case ControlAction.SendToPeer a -> {
        if (!peers.send(a.peer(), a.message())) {
          telemetry.count("peer_messages_dropped", 1);
        }
      }
      case ControlAction.PublishView a -> {
        operators.show(a.view());
        moves.show(a.view().configuration());
        requests.show(a.view());
      }
    }
  }

  /** A host that the others do not know of dials all of them. */
  private static boolean dials(ControlSettings settings, HostAddress other) {
    return settings.agreement().voters().contains(settings.self())
        ? isAfter(other, settings.peer())
        : !other.equals(settings.peer());
  }

  /** Orders addresses, so that of two control hosts only one dials the other. */
  private static boolean isAfter(HostAddress address, HostAddress own) {
    return address.toString().compareTo(own.toString()) > 0;
  }

  private PeerListener listener() {
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
