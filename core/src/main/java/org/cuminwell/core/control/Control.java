package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.cuminwell.core.control.ControlAction.AnswerTicket;
import org.cuminwell.core.control.ControlAction.Show;
import org.cuminwell.core.control.ControlAction.TellPeer;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.Publisher;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.Outgoing;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer;

/**
 * Decides what a control host does with each event.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Control {

  private final HostId self;
  private final ReplicatedState state = new ReplicatedState();
  private final ShareDuty shares = new ShareDuty();
  private final Publisher publisher = new Publisher();
  private boolean changed;
  private OptionalLong firstTerm = OptionalLong.empty();

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
      case ControlEvent.PeerConnected e -> tell(publisher.connected(e.peer()), actions);
      case ControlEvent.PeerLost e -> lose(e.peer(), now);
      case ControlEvent.PeerHeard e -> hear(e.peer(), e.message(), now, actions);
      case ControlEvent.Ticked e -> tick(now, actions);
    }
    return actions;
  }

  /** Returns what operators are shown now. */
  public ControlView view() {
    return new ControlView(
        self, state.configuration(), state.ledger().all(), List.copyOf(publisher.gateways()));
  }

  private void submit(
      ControlEvent.TicketSubmitted event, Instant now, List<ControlAction> actions) {
    Revision before = state.configuration().revision();
    TicketAnswer answer = answer(event.ticket(), now);
    actions.add(new AnswerTicket(event.id(), answer));
    if (state.configuration().revision().isAfter(before)) {
      publisher.publish(state.configuration(), event.ticket().change());
      actions.add(new Show(view()));
    }
  }

  private TicketAnswer answer(Ticket ticket, Instant now) {
    return switch (state.apply(new Command.AcceptTicket(ticket), now)) {
      case Applied.TicketAnswered applied -> applied.answer();
    };
  }

  /** Returns the term in which this host leads; while nothing is replicated, since its start. */
  private OptionalLong term(Instant now) {
    if (firstTerm.isEmpty()) {
      firstTerm = OptionalLong.of(now.toEpochMilli());
    }
    return firstTerm;
  }

  private void lose(HostId peer, Instant now) {
    shares.lost(peer);
    publisher.lost(peer, now);
    changed = true;
  }

  private void hear(HostId peer, PeerMessage message, Instant now, List<ControlAction> actions) {
    switch (message) {
      case PeerMessage.Distribution m -> {
        tell(publisher.hear(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Limits m -> shares.hear(peer, m.message(), now, actions);
      case PeerMessage.Directory m -> {
        if (m.message() instanceof DirectoryMessage.Here) {
          shares.connected(peer, actions);
        }
        tell(publisher.hear(peer, m.message(), now), actions);
        changed = true;
      }
      case PeerMessage.Membership m -> {}
    }
  }

  /** Sends what is due, and shows operators what has changed since the last tick. */
  private void tick(Instant now, List<ControlAction> actions) {
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
