package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.PublishView;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.distribution.GatewayStatus;
import org.cuminwell.core.distribution.Publisher;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Decides what a control host does with each event.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Control {

  private final HostId self;
  private final ReplicatedStateMachine replicatedStateMachine;
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
  public Control(
      HostId self, Set<HostAddress> controls, ReplicatedStateMachine replicatedStateMachine) {
    this.self = self;
    this.publisher = new Publisher(controls);
    this.replicatedStateMachine = replicatedStateMachine;
    this.state = replicatedStateMachine.state();
    publisher.publish(state.configuration());
    this.submissions = new Submissions(self, replicatedStateMachine);
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
          perform(
              replicatedStateMachine.submit(e.id(), new Command.AcceptTicket(e.ticket()), now),
              actions);
      case ControlEvent.ConfigurationSubmitted e -> {
        Command command = new Command.ReplaceConfiguration(e.document(), e.content());
        perform(replicatedStateMachine.submit(e.id(), command, now), actions);
      }
      case ControlEvent.EvacuationSubmitted e -> {
        Command command = new Command.Evacuate(e.dataCentre(), e.evacuated());
        perform(replicatedStateMachine.submit(e.id(), command, now), actions);
      }
      case ControlEvent.RolloutSubmitted e ->
          perform(
              replicatedStateMachine.submit(e.id(), new Command.BeginRollout(e.order()), now),
              actions);
      case ControlEvent.RolloutQueried e -> reads.askMove(e.id(), e.service(), now);
      case ControlEvent.ConfigurationQueried e -> reads.askDocument(e.id(), now);
      case ControlEvent.EndpointAnnounced e -> endpoints.announced(e.announcement(), now);
      case ControlEvent.EndpointLeaving e -> endpoints.left(e.endpoint(), e.incarnation(), now);
      case ControlEvent.JournalSynced e ->
          perform(replicatedStateMachine.persisted(e.sequence(), now), actions);
      case ControlEvent.PeerConnected e -> greet(e.peer(), now, actions);
      case ControlEvent.PeerDisconnected e -> lose(e.peer(), now);
      case ControlEvent.PeerMessageReceived e -> hear(e.peer(), e.message(), now, actions);
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
    return replicatedStateMachine.fencingNumber(now);
  }

  /** Returns how this host stands in the agreement. */
  public AgreementStatus agreementStatus(Instant now) {
    return replicatedStateMachine.status(now);
  }

  /** Answers the questions for which the state is established, and establishes it for the rest. */
  private void settleReads(Instant now, List<ControlAction> actions) {
    if (!reads.isWaiting()) {
      return;
    }
    perform(replicatedStateMachine.bringUpToDate(now), actions);
    reads.settle(replicatedStateMachine, now, actions);
  }

  /** Returns what operators are shown now. */
  public ControlView view() {
    return new ControlView(
        self, state.configuration(), state.ledger().all(), List.copyOf(publisher.gateways()));
  }

  private void perform(List<StateMachineAction> decided, List<ControlAction> actions) {
    decided.forEach(action -> perform(action, actions));
  }

  private void perform(StateMachineAction action, List<ControlAction> actions) {
    switch (action) {
      case StateMachineAction.Send a ->
          actions.add(new SendToPeer(a.to(), new PeerMessage.Consensus(a.message())));
      case StateMachineAction.Write a -> actions.add(new ControlAction.WriteJournal(a.write()));
      case StateMachineAction.Answer a -> answer(a.id(), a.outcome(), actions);
      case StateMachineAction.StateChanged a -> {
        a.change()
            .ifPresentOrElse(
                change -> publisher.publish(a.configuration(), change),
                () -> publisher.publish(a.configuration()));
        actions.add(new PublishView(view()));
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
            actions.add(new PublishView(view()));
          }
        }
      }
      case CommandOutcome.Failed failed -> {
        if (!claims.failed(id) && !moves.answered(id)) {
          actions.add(new ControlAction.AnswerFailure(id, failed.failure()));
        }
      }
    }
  }

  private boolean leads(Instant now) {
    return fencingNumber(now).isPresent();
  }

  private List<HostId> connectedGateways() {
    return publisher.gateways().stream()
        .filter(GatewayStatus::connected)
        .map(gateway -> gateway.host().id())
        .toList();
  }

  private void greet(HostId peer, Instant now, List<ControlAction> actions) {
    tell(publisher.onConnected(peer), actions);
    claims.greet(peer, now, actions);
    moves.greet(peer, leads(now), actions);
  }

  private void lose(HostId peer, Instant now) {
    shares.lost(peer);
    publisher.onDisconnected(peer, now);
    endpoints.lost(peer);
    changed = true;
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Idempotency m -> claims.hear(m.message(), now);
      case PeerMessage.Rollouts m -> moves.hear(m.message(), now);
      case PeerMessage.Distribution m -> {
        if (m.message() instanceof DistributionMessage.LatestRevisionRequest question) {
          reads.askRevision(peer, question.askedAt(), now);
        }
        tell(publisher.onMessage(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Consensus m ->
          perform(replicatedStateMachine.hear(peer, m.message(), now), actions);
      case PeerMessage.Limits m -> shares.hear(peer, m.message(), now, actions);
      case PeerMessage.Directory m -> {
        switch (m.message()) {
          case DirectoryMessage.GatewayHello gatewayHello -> shares.connected(peer, actions);
          case DirectoryMessage.ControlHello here -> endpoints.foundControl(peer, actions);
          case DirectoryMessage.Hosts hosts -> {}
        }
        tell(publisher.onMessage(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Membership m -> endpoints.hear(peer, m.message(), now, actions);
    }
  }

  /** Sends what is due, and shows operators what has changed since the last tick. */
  private void tick(Instant now, List<ControlAction> actions) {
    perform(replicatedStateMachine.tick(now), actions);
    endpoints.tick(now, actions);
    tell(publisher.tick(now), actions);
    if (changed) {
      changed = false;
      actions.add(new PublishView(view()));
    }
  }

  private static void tell(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(out -> actions.add(new SendToPeer(out.peer(), out.message())));
  }
}
