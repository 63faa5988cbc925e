package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.Show;
import org.cuminwell.core.control.ControlAction.TellPeer;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.distribution.GatewayContact;
import org.cuminwell.core.distribution.Publisher;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.Outgoing;
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
  private final Publisher publisher;
  private final ShareDuty shares = new ShareDuty();
  private final Submissions submissions;
  private final ClaimDuty claims;
  private final MoveDuty moves;
  private final EndpointDuty endpoints;
  private final CurrentReads reads = new CurrentReads();
  private boolean changed;

  /**
   * Makes the state of a control host that takes part in the agreement.
   *
   * @param controls the peer addresses of the control hosts that it knows, its own among them
   */
  public Control(HostId self, Set<HostAddress> controls, Agreement agreement) {
    this.self = self;
    this.publisher = new Publisher(controls);
    this.agreement = agreement;
    this.state = agreement.state();
    publisher.publish(state.configuration());
    this.submissions = new Submissions(self, agreement);
    this.claims = new ClaimDuty(submissions);
    this.moves = new MoveDuty(submissions, state);
    this.endpoints = new EndpointDuty(this::connectedGateways);
  }

  /** Returns what to do about the event, in order. */
  public List<ControlAction> handle(ControlEvent event, Instant now) {
    List<ControlAction> actions = new ArrayList<>();
    shares.step(fencingNumber(now), state.configuration(), now, actions);
    switch (event) {
      case ControlEvent.TicketSubmitted e ->
          perform(agreement.submit(e.id(), new Command.AcceptTicket(e.ticket()), now), actions);
      case ControlEvent.ConfigurationSubmitted e -> {
        Command command = new Command.ReplaceConfiguration(e.document(), e.content());
        perform(agreement.submit(e.id(), command, now), actions);
      }
      case ControlEvent.EvacuationSubmitted e -> {
        Command command = new Command.Evacuate(e.dataCentre(), e.begins());
        perform(agreement.submit(e.id(), command, now), actions);
      }
      case ControlEvent.RolloutSubmitted e ->
          perform(agreement.submit(e.id(), new Command.BeginRollout(e.order()), now), actions);
      case ControlEvent.RolloutAsked e -> reads.askMove(e.id(), e.service(), now);
      case ControlEvent.ConfigurationAsked e -> reads.askDocument(e.id(), now);
      case ControlEvent.EndpointAnnounced e -> endpoints.announced(e.announcement(), now);
      case ControlEvent.EndpointLeft e -> endpoints.left(e.endpoint(), e.incarnation(), now);
      case ControlEvent.JournalSynced e -> perform(agreement.persisted(e.sequence(), now), actions);
      case ControlEvent.PeerConnected e -> greet(e.peer(), now, actions);
      case ControlEvent.PeerLost e -> lose(e.peer(), now);
      case ControlEvent.PeerHeard e -> hear(e.peer(), e.message(), now, actions);
      case ControlEvent.Ticked e -> {
        tick(now, actions);
        moves.step(leads(now), connectedGateways(), now, actions);
      }
    }
    perform(submissions.drain(), actions);
    settleReads(now, actions);
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

  /** Answers the questions for which the state is established, and establishes it for the rest. */
  private void settleReads(Instant now, List<ControlAction> actions) {
    if (!reads.isWaiting()) {
      return;
    }
    perform(agreement.bringUpToDate(now), actions);
    reads.settle(agreement, now, actions);
  }

  /** Returns what operators are shown now. */
  public ControlView view() {
    return new ControlView(
        self, state.configuration(), state.ledger().all(), List.copyOf(publisher.gateways()));
  }

  private void perform(List<AgreementAction> decided, List<ControlAction> actions) {
    decided.forEach(action -> perform(action, actions));
  }

  private void perform(AgreementAction action, List<ControlAction> actions) {
    switch (action) {
      case AgreementAction.Tell a ->
          actions.add(new TellPeer(a.to(), new PeerMessage.Consensus(a.message())));
      case AgreementAction.Write a -> actions.add(new ControlAction.WriteJournal(a.write()));
      case AgreementAction.Answer a -> answer(a.id(), a.outcome(), actions);
      case AgreementAction.StateChanged a -> {
        a.change()
            .ifPresentOrElse(
                change -> publisher.publish(a.configuration(), change),
                () -> publisher.publish(a.configuration()));
        actions.add(new Show(view()));
      }
    }
  }

  private void answer(RequestId id, CommandOutcome outcome, List<ControlAction> actions) {
    switch (outcome) {
      case CommandOutcome.Done done -> {
        switch (done.result()) {
          case Applied.TicketAnswered applied ->
              actions.add(new AnswerTicket(id, applied.answer()));
          case Applied.ConfigurationReplaced applied ->
              actions.add(new ControlAction.AnswerReplaced(id, applied.version()));
          case Applied.Evacuated applied -> actions.add(new ControlAction.AnswerEvacuated(id));
          case Applied.RolloutBegun applied ->
              actions.add(new ControlAction.AnswerRolloutBegun(id));
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
    return publisher.gateways().stream()
        .filter(GatewayContact::connected)
        .map(gateway -> gateway.host().id())
        .toList();
  }

  private void greet(HostId peer, Instant now, List<ControlAction> actions) {
    tell(publisher.connected(peer), actions);
    claims.greet(peer, now, actions);
    moves.greet(peer, leads(now), actions);
  }

  private void lose(HostId peer, Instant now) {
    shares.lost(peer);
    publisher.lost(peer, now);
    endpoints.lost(peer);
    changed = true;
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Idempotency m -> claims.hear(m.message(), now);
      case PeerMessage.Rollouts m -> moves.hear(m.message(), now);
      case PeerMessage.Distribution m -> {
        if (m.message() instanceof DistributionMessage.AskCurrent question) {
          reads.askRevision(peer, question.askedAt(), now);
        }
        tell(publisher.hear(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Consensus m -> perform(agreement.hear(peer, m.message(), now), actions);
      case PeerMessage.Limits m -> shares.hear(peer, m.message(), now, actions);
      case PeerMessage.Directory m -> {
        switch (m.message()) {
          case DirectoryMessage.Here here -> shares.connected(peer, actions);
          case DirectoryMessage.ControlHere here -> endpoints.foundControl(peer, actions);
          case DirectoryMessage.Hosts hosts -> {}
        }
        tell(publisher.hear(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Membership m -> endpoints.hear(peer, m.message(), now, actions);
    }
  }

  /** Sends what is due, and shows operators what has changed since the last tick. */
  private void tick(Instant now, List<ControlAction> actions) {
    perform(agreement.tick(now), actions);
    endpoints.tick(now, actions);
    tell(publisher.tick(now), actions);
    if (changed) {
      changed = false;
      actions.add(new Show(view()));
    }
  }

  private static void tell(List<Outgoing> messages, List<ControlAction> actions) {
    messages.forEach(out -> actions.add(new TellPeer(out.peer(), out.message())));
  }
}
