package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.PublishView;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.distribution.GatewayStatus;
import org.cuminwell.core.distribution.Publisher;
import org.cuminwell.core.duty.DutySettings;
import org.cuminwell.core.duty.DutyStatus;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Decides how a control host reacts to each event.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Control {

  private final HostId self;
  private final ReplicatedStateMachine replicatedStateMachine;
  private final ReplicatedState state;
  private final Publisher publisher;
  private final ShareHandler shareHandler = new ShareHandler();
  private final InternalSubmissions submissions;
  private final ClaimHandler claimHandler;
  private final RolloutHandler rolloutHandler;
  private final OrderHandler orderHandler;
  private final EndpointHandler endpointHandler;
  private final CrashHandler crashHandler;
  private final DutyHandler dutyHandler;
  private final LinearizableReads reads = new LinearizableReads();
  private Membership dialledMembership = Membership.NONE;
  private int dialledAddressCount;
  private AgreementStatus shownAgreement;
  private boolean viewChanged;

  /** Creates a control host without duties. */
  public Control(
      HostId self,
      Set<HostAddress> controls,
      ReplicatedStateMachine replicatedStateMachine,
      Instant now) {
    this(self, controls, replicatedStateMachine, Optional.empty(), now);
  }

  /**
   * Creates a control host.
   *
   * @param controls the peer addresses of the known control hosts, including this one
   * @param duties the duties that the host holds while it leads, if there are any
   */
  public Control(
      HostId self,
      Set<HostAddress> controls,
      ReplicatedStateMachine replicatedStateMachine,
      Optional<DutySettings> duties,
      Instant now) {
    this.self = self;
    this.publisher = new Publisher(controls);
    this.replicatedStateMachine = replicatedStateMachine;
    this.state = replicatedStateMachine.state();
    this.shownAgreement = replicatedStateMachine.status(now);
    publisher.publish(state.configuration());
    this.submissions = new InternalSubmissions(self, replicatedStateMachine);
    this.claimHandler = new ClaimHandler(submissions);
    this.rolloutHandler = new RolloutHandler(submissions, state);
    this.orderHandler = new OrderHandler(replicatedStateMachine);
    this.dutyHandler = new DutyHandler(self, duties, replicatedStateMachine, submissions);
    this.endpointHandler = new EndpointHandler(this::connectedGateways);
    this.crashHandler = new CrashHandler(self, endpointHandler.table(), this::connectedGateways);
  }

  /** Handles an event and returns the resulting actions in order. */
  public List<ControlAction> handle(ControlEvent event, Instant now) {
    List<ControlAction> actions = new ArrayList<>();
    switch (event) {
      case ControlEvent.TicketSubmitted e ->
          perform(
              replicatedStateMachine.submit(e.id(), new Command.AcceptTicket(e.ticket()), now),
              now,
              actions);
      case ControlEvent.ConfigurationSubmitted e -> {
        Command command = new Command.ReplaceConfiguration(e.document(), e.content());
        perform(replicatedStateMachine.submit(e.id(), command, now), now, actions);
      }
      case ControlEvent.OrderSubmitted e ->
          perform(orderHandler.submit(e.id(), e.order(), e.age(), now), now, actions);
      case ControlEvent.RolloutQueried e -> reads.addRolloutRead(e.id(), e.service(), now);
      case ControlEvent.ConfigurationQueried e -> reads.addDocumentRead(e.id(), now);
      case ControlEvent.EndpointAnnounced e ->
          endpointHandler.onAnnouncement(e.announcement(), e.age(), now);
      case ControlEvent.EndpointLeaving e ->
          endpointHandler.onLeaving(e.endpoint(), e.incarnation(), now);
      case ControlEvent.DepartureRequested e ->
          actions.add(endpointHandler.onDepartureRequested(e, now));
      case ControlEvent.JournalSynced e ->
          perform(replicatedStateMachine.onPersisted(e.sequence(), now), now, actions);
      case ControlEvent.PeerConnected e -> onPeerConnected(e.peer(), now, actions);
      case ControlEvent.PeerDisconnected e -> onPeerDisconnected(e.peer(), now);
      case ControlEvent.PeerMessageReceived e -> onMessage(e.peer(), e.message(), now, actions);
      case ControlEvent.Ticked e -> {
        shareHandler.update(fencingNumber(now), state.configuration(), now, actions);
        onTick(now, actions);
        rolloutHandler.onTick(leads(now), connectedGateways(), now, actions);
        dutyHandler.onTick(connectedGateways(), now, actions);
      }
      case ControlEvent.DutyCallEnded e ->
          dutyHandler.onCallEnded(e.call(), e.result(), now, actions);
    }
    perform(submissions.drain(), now, actions);
    answerReads(now, actions);
    dialNewAddresses(actions);
    return actions;
  }

  /** Connects to control hosts that other control hosts or the log have named since. */
  private void dialNewAddresses(List<ControlAction> actions) {
    Membership membership = replicatedStateMachine.membership();
    if (!membership.equals(dialledMembership)) {
      dialledMembership = membership;
      send(publisher.addControlAddresses(addressesOf(membership)), actions);
    }
    // Addresses are only ever added.
    if (publisher.controlAddresses().size() > dialledAddressCount) {
      dialledAddressCount = publisher.controlAddresses().size();
      actions.add(new ControlAction.DialControlHosts(publisher.controlAddresses()));
    }
  }

  private static Set<HostAddress> addressesOf(Membership membership) {
    return membership.members().stream().map(Member::address).collect(Collectors.toSet());
  }

  /**
   * Returns the fencing number that orders to endpoints must carry; empty unless this host leads.
   * It increases with each new leader.
   */
  public OptionalLong fencingNumber(Instant now) {
    return replicatedStateMachine.fencingNumber(now);
  }

  /** Returns who holds the duties, as of the last tick. */
  public DutyStatus dutyStatus() {
    return dutyHandler.status();
  }

  /** Returns this host's view of the current term and leader. */
  public AgreementStatus agreementStatus(Instant now) {
    return replicatedStateMachine.status(now);
  }

  /**
   * Answers the queued reads for which the state is current, and requests a read index for the
   * rest.
   */
  private void answerReads(Instant now, List<ControlAction> actions) {
    if (!reads.isWaiting()) {
      return;
    }
    perform(replicatedStateMachine.requestReadIndexIfDue(now), now, actions);
    reads.answerOrExpire(replicatedStateMachine, now, actions);
  }

  /** Returns the view of the state that operators are shown. */
  public ControlView view(Instant now) {
    return new ControlView(
        self,
        state.configuration(),
        state.ledger().acceptedTickets(),
        List.copyOf(publisher.gateways()),
        agreementStatus(now));
  }

  private void perform(List<StateMachineAction> decided, Instant now, List<ControlAction> actions) {
    decided.forEach(action -> perform(action, now, actions));
  }

  private void perform(StateMachineAction action, Instant now, List<ControlAction> actions) {
    switch (action) {
      case StateMachineAction.Send a ->
          actions.add(new SendToPeer(a.to(), new PeerMessage.Consensus(a.message())));
      case StateMachineAction.Write a -> actions.add(new ControlAction.WriteJournal(a.write()));
      case StateMachineAction.Answer a -> answer(a.id(), a.outcome(), now, actions);
      case StateMachineAction.StateChanged a -> {
        a.change()
            .ifPresentOrElse(
                change -> publisher.publish(a.configuration(), change),
                () -> publisher.publish(a.configuration()));
        actions.add(new PublishView(view(now)));
      }
    }
  }

  private void answer(
      RequestId id, CommandOutcome outcome, Instant now, List<ControlAction> actions) {
    switch (outcome) {
      case CommandOutcome.Committed committed -> {
        switch (committed.result()) {
          case CommandResult.TicketAnswered applied ->
              actions.add(new AnswerTicket(id, applied.answer()));
          case CommandResult.ConfigurationReplaced applied ->
              actions.add(new ControlAction.AnswerReplaced(id, applied.version()));
          case CommandResult.OrderCarriedOut applied -> orderHandler.onCarriedOut(id, now, actions);
          case CommandResult.OrderOvertaken applied -> orderHandler.onOvertaken(id, now, actions);
          case CommandResult.ClaimAnswered applied ->
              claimHandler.onAnswered(id, applied.id(), applied.answer(), actions);
          case CommandResult.DutyChanged applied -> dutyHandler.removeAnswered(id);
          case CommandResult.RolloutAdvanced applied -> {
            rolloutHandler.removeAnswered(id);
            actions.add(new PublishView(view(now)));
          }
        }
      }
      case CommandOutcome.Failed failed -> {
        if (!claimHandler.removeFailed(id)
            && !rolloutHandler.removeAnswered(id)
            && !dutyHandler.removeAnswered(id)) {
          actions.add(new ControlAction.AnswerFailure(id, failed.failure()));
          orderHandler.onFailed(id, failed.failure(), now, actions);
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

  private void onPeerConnected(HostId peer, Instant now, List<ControlAction> actions) {
    crashHandler.onConnected(peer, now, actions);
    send(publisher.onConnected(peer), actions);
    claimHandler.sendLeader(peer, now, actions);
    rolloutHandler.onPeerConnected(peer, leads(now), actions);
  }

  private void onPeerDisconnected(HostId peer, Instant now) {
    shareHandler.onDisconnected(peer);
    publisher.onDisconnected(peer, now);
    endpointHandler.onDisconnected(peer);
    crashHandler.onDisconnected(peer);
    viewChanged = true;
  }

  private void onMessage(
      HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Idempotency m -> claimHandler.onMessage(m.message(), now);
      case PeerMessage.Rollouts m -> rolloutHandler.onMessage(m.message(), now);
      case PeerMessage.Distribution m -> {
        if (m.message() instanceof DistributionMessage.LatestRevisionRequest request) {
          reads.addRevisionRead(peer, request.askedAt(), now);
        }
        send(publisher.onMessage(peer, m.message(), now), actions);
        viewChanged = true;
      }
      case PeerMessage.Consensus m ->
          perform(replicatedStateMachine.onMessage(peer, m.message(), now), now, actions);
      case PeerMessage.Limits m -> shareHandler.onMessage(peer, m.message(), now);
      case PeerMessage.Directory m -> {
        switch (m.message()) {
          case DirectoryMessage.GatewayHello gatewayHello ->
              shareHandler.onConnected(peer, actions);
          case DirectoryMessage.ControlHello here -> {
            endpointHandler.onControlHostConnected(peer, actions);
            crashHandler.onControlHostConnected(peer);
            perform(replicatedStateMachine.onControlHostConnected(peer, now), now, actions);
          }
          case DirectoryMessage.Hosts hosts -> {}
        }
        send(publisher.onMessage(peer, m.message(), now), actions);
        viewChanged = true;
      }
      case PeerMessage.Membership m -> endpointHandler.onMessage(peer, m.message(), now, actions);
      case PeerMessage.Crashes m -> crashHandler.onMessage(m.update(), now);
      case PeerMessage.Usage m -> dutyHandler.onMessage(peer, m.message());
    }
  }

  /** Performs periodic work, and publishes a new view if it changed since the last tick. */
  private void onTick(Instant now, List<ControlAction> actions) {
    perform(replicatedStateMachine.onTick(now), now, actions);
    endpointHandler.onTick(now, actions);
    crashHandler.onTick(now, actions);
    send(publisher.tick(now), actions);
    AgreementStatus agreement = agreementStatus(now);
    viewChanged |= !agreement.hasSameRoles(shownAgreement);
    shownAgreement = agreement;
    if (viewChanged) {
      viewChanged = false;
      actions.add(new PublishView(view(now)));
    }
  }

  private static void send(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(out -> actions.add(new SendToPeer(out.peer(), out.message())));
  }
}
