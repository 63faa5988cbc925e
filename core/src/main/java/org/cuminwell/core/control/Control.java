package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.Show;
import org.cuminwell.core.control.ControlAction.TellPeer;
import org.cuminwell.core.control.ControlView.GatewayView;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutController;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer;

/**
 * Decides what a control host does with each event.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Control {

  /** How often gateways are told the steps of open version moves, which renews their shares. */
  private static final Duration MOVES_PERIOD = Duration.ofMillis(500);

  private final HostId self;
  private final ReplicatedState state = new ReplicatedState();
  private final RolloutController moveController = new RolloutController();
  private final TreeMap<HostId, GatewayView> gateways = new TreeMap<>();
  private final ShareDuty shares = new ShareDuty();
  private OptionalLong firstTerm = OptionalLong.empty();

  private Instant movesToldAt = Instant.EPOCH;

  /** Makes the state of the control host with the given name. */
  public Control(HostId self) {
    this.self = self;
  }

  /** Returns what to do about the event, in order. */
  public List<ControlAction> handle(ControlEvent event, Instant now) {
    List<ControlAction> actions = new ArrayList<>();
    shares.step(term(now), state.configuration(), now, actions);
    switch (event) {
      case ControlEvent.TicketSubmitted e -> submit(e, now, actions);
      case ControlEvent.PeerConnected e -> greet(e.peer(), actions);
      case ControlEvent.PeerLost e -> lose(e.peer(), actions);
      case ControlEvent.PeerHeard e -> hear(e.peer(), e.message(), now, actions);
      case ControlEvent.Ticked e -> moveVersions(now, actions);
    }
    return actions;
  }

  /** Returns what operators are shown now. */
  public ControlView view() {
    return new ControlView(
        self, state.configuration(), state.ledger().all(), List.copyOf(gateways.values()));
  }

  private void submit(
      ControlEvent.TicketSubmitted event, Instant now, List<ControlAction> actions) {
    Revision before = state.configuration().revision();
    TicketAnswer answer = answer(event.ticket(), now);
    actions.add(new AnswerTicket(event.id(), answer));
    if (state.configuration().revision().isAfter(before)) {
      gateways.values().stream()
          .filter(GatewayView::connected)
          .forEach(gateway -> actions.add(configurationFor(gateway.host().id())));
      actions.add(new Show(view()));
    }
  }

  private TicketAnswer answer(Ticket ticket, Instant now) {
    return switch (state.apply(new Command.AcceptTicket(ticket), now)) {
      case Applied.TicketAnswered applied -> applied.answer();
      case Applied.ClaimAnswered applied ->
          throw new IllegalStateException("a ticket can't answer claim " + applied.id());
      case Applied.RolloutAdvanced applied ->
          throw new IllegalStateException("a ticket can't advance a version move");
    };
  }

  /** Returns the term in which this host leads; while nothing is replicated, since its start. */
  private OptionalLong term(Instant now) {
    if (firstTerm.isEmpty()) {
      firstTerm = OptionalLong.of(now.toEpochMilli());
    }
    return firstTerm;
  }

  private void lose(HostId peer, List<ControlAction> actions) {
    shares.lost(peer);
    gateways.computeIfPresent(peer, (id, old) -> new GatewayView(old.host(), old.held(), false));
    actions.add(new Show(view()));
  }

  private void greet(HostId peer, List<ControlAction> actions) {
    actions.add(tell(peer, new IdempotencyMessage.Led(Optional.of(self))));
    actions.add(movesFor(peer));
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> hear(peer, m.message(), actions);
      case PeerMessage.Directory m -> hear(peer, m.message(), actions);
      case PeerMessage.Idempotency m -> hear(m.message(), now, actions);
      case PeerMessage.Rollouts m -> hear(m.message(), now);
      case PeerMessage.Limits m -> shares.hear(peer, m.message(), now, actions);
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

  private void hear(IdempotencyMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case IdempotencyMessage.Asked asked -> {
        if (state.apply(new Command.ChangeClaim(asked.change()), now)
            instanceof Applied.ClaimAnswered applied) {
          actions.add(
              tell(
                  applied.id().gateway(),
                  new IdempotencyMessage.Answered(applied.id(), applied.answer())));
        }
      }
      case IdempotencyMessage.Answered answered -> {}
      case IdempotencyMessage.Led led -> {}
    }
  }

  private void hear(RolloutMessage message, Instant now) {
    switch (message) {
      case RolloutMessage.Report report -> moveController.hear(report, now);
      case RolloutMessage.Steps steps -> {}
    }
  }

  private void moveVersions(Instant now, List<ControlAction> actions) {
    boolean changed = false;
    for (RolloutAdvance advance :
        moveController.decide(state.configuration().rollouts().values(), state.moves(), now)) {
      changed |=
          state.apply(new Command.AdvanceRollout(advance), now)
                  instanceof Applied.RolloutAdvanced applied
              && applied.recorded();
    }
    boolean due = !now.isBefore(movesToldAt.plus(MOVES_PERIOD));
    if (changed || (due && state.moves().hasOpen())) {
      movesToldAt = now;
      gateways.values().stream()
          .filter(GatewayView::connected)
          .forEach(gateway -> actions.add(movesFor(gateway.host().id())));
    }
    if (changed) {
      actions.add(new Show(view()));
    }
  }

  private TellPeer movesFor(HostId gateway) {
    return new TellPeer(
        gateway, new PeerMessage.Rollouts(new RolloutMessage.Steps(state.moves().all())));
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

  private static TellPeer tell(HostId peer, IdempotencyMessage message) {
    return new TellPeer(peer, new PeerMessage.Idempotency(message));
  }

  private TellPeer configurationFor(HostId gateway) {
    return new TellPeer(
        gateway, new PeerMessage.Distribution(new DistributionMessage.Full(state.configuration())));
  }
}
