package org.cuminwell.shell.control;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.control.Agreement;
import org.cuminwell.core.control.AgreementStatus;
import org.cuminwell.core.control.Control;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.duty.TimerDuty;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.shell.journal.Journal;
import org.cuminwell.shell.journal.JournalDuty;
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

  private final MonotonicTime time = new MonotonicTime();
  private final Telemetry telemetry = new Telemetry();
  private final Ring<ControlEvent> events = new Ring<>(RING);
  private final Ring<ControlAction> actions = new Ring<>(RING);
  private final Journal journal;
  private final JournalDuty journalDuty;
  private final Control control;
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

  private ControlProcess(ControlSettings settings) {
    journal = Journal.open(settings.agreement().data(), () -> fresh(settings.agreement()));
    Set<HostAddress> controls = new HashSet<>(settings.controls());
    controls.add(settings.peer());
    control = new Control(settings.self(), controls, agreement(settings));
    status = control.agreement(time.instant());
    http = HttpSystem.start("control");
    tls = settings.tls().map(PeerTls::orFail);
    peers = new PeerNode(settings.self(), listener(), tls);
    telemetry.gauge("peer_sent_bytes", peers::sentBytes);
    telemetry.gauge("peer_received_bytes", peers::receivedBytes);
    telemetry.gauge("peer_refused_connections", peers::refusedConnections);
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
            "certificates", PeerTls.RELOAD, () -> tls.ifPresent(PeerTls::reloadIfChanged));
  }

  /**
   * Starts a control host.
   *
   * @throws IllegalStateException if an address can't be used
   */
  public static ControlProcess start(ControlSettings given) {
    ControlSettings settings = FoundingRecord.apply(given);
    ControlProcess process = new ControlProcess(settings);
    process.http.serve(settings.operators(), process.operators::handle);
    for (AddedFront front : settings.fronts()) {
      process.http.serve(front.address(), front.maker().make(process.http, process.requests));
    }
    process.peers.listen(settings.peer());
    settings.controls().stream()
        .filter(address -> dials(settings, address))
        .forEach(process.peers::dial);
    LOG.log(System.Logger.Level.INFO, "control host started at " + settings.operators());
    return process;
  }

  @Override
  public void close() {
    timer.close();
    certificates.close();
    decide.close();
    dispatch.close();
    journalDuty.close();
    peers.close();
    http.close();
  }

  private void decide(ControlEvent event) {
    for (ControlAction action : control.handle(event, time.instant())) {
      if (action instanceof ControlAction.WriteJournal write) {
        journalDuty.take(write.write());
      } else if (!actions.offer(action)) {
        telemetry.count("actions_dropped", 1);
      }
    }
    note(control.agreement(time.instant()));
  }

  private void note(AgreementStatus latest) {
    if (!latest.hasSameRoles(status)) {
      LOG.log(System.Logger.Level.INFO, "agreement: " + latest);
    }
    status = latest;
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

  private Agreement agreement(ControlSettings settings) {
    return new Agreement(
        settings.self(),
        settings.agreement().voters(),
        journal.recovered(),
        new SplittableRandom(new SecureRandom().nextLong()),
        Agreement.COMPACT_ENTRIES,
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
      case ControlAction.FailTicket a -> {
        operators.fail(a.id(), a.failure());
        requests.answer(a);
      }
      case ControlAction.Answer a -> requests.answer(a);
      case ControlAction.WriteJournal a -> journalDuty.take(a.write());
      case ControlAction.TellPeer a -> {
        if (!peers.send(a.peer(), a.message())) {
          telemetry.count("peer_messages_dropped", 1);
        }
      }
      case ControlAction.Show a -> {
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
      public void connected(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "connected to " + peer);
        events.offer(new ControlEvent.PeerConnected(peer));
      }

      @Override
      public void lost(HostId peer) {
        LOG.log(System.Logger.Level.INFO, "lost " + peer);
        events.offer(new ControlEvent.PeerLost(peer));
      }

      @Override
      public void heard(HostId peer, PeerMessage message) {
        events.offer(new ControlEvent.PeerHeard(peer, message));
      }
    };
  }
}
