package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.Show;
import org.cuminwell.core.control.ControlAction.TellPeer;
import org.cuminwell.core.control.ControlView.GatewayView;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Decides what a control host does with each event.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Control {

  private final HostId self;
  private final Agreement agreement;
  private final ReplicatedState state;
  private final TreeMap<HostId, GatewayView> gateways = new TreeMap<>();
  private Revision shown = Revision.ZERO;
  private final ShareDuty shares = new ShareDuty();
  private final Submissions submissions;
  private final ClaimDuty claims;
  private final MoveDuty moves;

  /** Makes the state of a control host that takes part in the agreement. */
  public Control(HostId self, Agreement agreement) {
    this.self = self;
    this.agreement = agreement;
    this.state = agreement.state();
    this.submissions = new Submissions(self, agreement);
    this.claims = new ClaimDuty(submissions);
    this.moves = new MoveDuty(submissions, state);
  }

  /** Returns what to do about the event, in order. */
  public List<ControlAction> handle(ControlEvent event, Instant now) {
    List<ControlAction> actions = new ArrayList<>();
    shares.step(fencingNumber(now), state.configuration(), now, actions);
    switch (event) {
      case ControlEvent.TicketSubmitted e ->
          perform(agreement.submit(e.id(), new Command.AcceptTicket(e.ticket()), now), actions);
      case ControlEvent.JournalSynced e -> perform(agreement.persisted(e.sequence(), now), actions);
      case ControlEvent.PeerConnected e -> greet(e.peer(), now, actions);
      case ControlEvent.PeerLost e -> lose(e.peer(), actions);
      case ControlEvent.PeerHeard e -> hear(e.peer(), e.message(), now, actions);
      case ControlEvent.Ticked e -> {
        perform(agreement.tick(now), actions);
        moves.step(leads(now), connectedGateways(), now, actions);
      }
    }
    perform(submissions.drain(), actions);
    return actions;
  }

  /**
   * Returns the number that orders to endpoints must carry, if this host may give any; it grows
   * with each new leader.
   */
  public OptionalLong fencingNumber(Instant now) {
    return agreement.fencingNumber(now);
  }

  /** Returns how this host stands in the agreement. */
  public AgreementStatus agreement(Instant now) {
    return agreement.status(now);
  }

  /** Returns what operators are shown now. */
  public ControlView view() {
    return new ControlView(
        self, state.configuration(), state.ledger().all(), List.copyOf(gateways.values()));
  }

  private void perform(List<AgreementAction> decided, List<ControlAction> actions) {
    Revision before = shown;
    decided.forEach(action -> perform(action, actions));
    if (state.configuration().revision().isAfter(before)) {
      shown = state.configuration().revision();
      gateways.values().stream()
          .filter(GatewayView::connected)
          .forEach(gateway -> actions.add(configurationFor(gateway.host().id())));
      actions.add(new Show(view()));
    }
  }

  private void perform(AgreementAction action, List<ControlAction> actions) {
    switch (action) {
      case AgreementAction.Tell a ->
          actions.add(new TellPeer(a.to(), new PeerMessage.Consensus(a.message())));
      case AgreementAction.Write a -> actions.add(new ControlAction.WriteJournal(a.write()));
      case AgreementAction.Answer a -> answer(a.id(), a.outcome(), actions);
      case AgreementAction.StateChanged a -> {}
    }
  }

  private void answer(RequestId id, CommandOutcome outcome, List<ControlAction> actions) {
    switch (outcome) {
      case CommandOutcome.Done done -> {
        switch (done.result()) {
          case Applied.TicketAnswered applied ->
              actions.add(new AnswerTicket(id, applied.answer()));
          case Applied.ClaimAnswered applied ->
              claims.answered(id, applied.id(), applied.answer(), actions);
          case Applied.RolloutAdvanced applied -> {
            moves.answered(id);
            actions.add(new Show(view()));
          }
        }
      }
      case CommandOutcome.Failed failed -> {
        if (!claims.failed(id) && !moves.answered(id)) {
          actions.add(new ControlAction.FailTicket(id, failed.failure()));
        }
      }
    }
  }

  private boolean leads(Instant now) {
    return fencingNumber(now).isPresent();
  }

  private List<HostId> connectedGateways() {
    return gateways.values().stream()
        .filter(GatewayView::connected)
        .map(gateway -> gateway.host().id())
        .toList();
  }

  private void greet(HostId peer, Instant now, List<ControlAction> actions) {
    claims.greet(peer, now, actions);
    moves.greet(peer, leads(now), actions);
  }

  private void lose(HostId peer, List<ControlAction> actions) {
    shares.lost(peer);
    gateways.computeIfPresent(peer, (id, old) -> new GatewayView(old.host(), old.held(), false));
    actions.add(new Show(view()));
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> hear(peer, m.message(), actions);
      case PeerMessage.Directory m -> hear(peer, m.message(), actions);
      case PeerMessage.Consensus m -> perform(agreement.hear(peer, m.message(), now), actions);
      case PeerMessage.Limits m -> shares.hear(peer, m.message(), now, actions);
      case PeerMessage.Idempotency m -> claims.hear(m.message(), now);
      case PeerMessage.Rollouts m -> moves.hear(m.message(), now);
    }
  }

  private void hear(HostId peer, DistributionMessage message, List<ControlAction> actions) {
    switch (message) {
      case DistributionMessage.Held held -> {
        gateways.computeIfPresent(
            peer, (id, old) -> new GatewayView(old.host(), held.revision(), true));
        if (state.configuration().revision().isAfter(held.revision())) {
          actions.add(configurationFor(peer));
        }
        actions.add(new Show(view()));
      }
      case DistributionMessage.Full full -> {}
    }
  }

  private void hear(HostId peer, DirectoryMessage message, List<ControlAction> actions) {
    switch (message) {
      case DirectoryMessage.Here here -> {
        GatewayView old = gateways.get(peer);
        Revision held = old == null ? Revision.ZERO : old.held();
        gateways.put(peer, new GatewayView(here.host(), held, true));
        shares.connected(peer, actions);
        tellDirectory(actions);
        actions.add(new Show(view()));
      }
      case DirectoryMessage.Hosts hosts -> {}
    }
  }

  private void tellDirectory(List<ControlAction> actions) {
    List<HostDescription> hosts = gateways.values().stream().map(GatewayView::host).toList();
    gateways.values().stream()
        .filter(GatewayView::connected)
        .forEach(
            gateway ->
                actions.add(
                    new TellPeer(
                        gateway.host().id(),
                        new PeerMessage.Directory(new DirectoryMessage.Hosts(hosts)))));
  }

  private TellPeer configurationFor(HostId gateway) {
    return new TellPeer(
        gateway, new PeerMessage.Distribution(new DistributionMessage.Full(state.configuration())));
  }
}
