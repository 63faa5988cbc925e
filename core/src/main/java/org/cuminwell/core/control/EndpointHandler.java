package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.MembershipExchange;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;

/**
 * Forwards endpoint announcements and departures received by this host to the gateways and the
 * other control hosts.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class EndpointHandler {

  private static final Failure UNKNOWN_INCARNATION =
      Failure.notRun(
          ErrorCode.NO_ENDPOINT,
          "this control host can't tell which incarnation is meant; name it or ask another host");

  private final EndpointTable table = new EndpointTable();
  private final TreeSet<HostId> controlHosts = new TreeSet<>();
  private final MembershipExchange exchange;

  /** Creates the handler. {@code gateways} supplies the connected gateways. */
  EndpointHandler(Supplier<List<HostId>> gateways) {
    exchange = new MembershipExchange(() -> recipients(gateways.get()), table);
  }

  /** Returns the table of known endpoints. */
  EndpointTable table() {
    return table;
  }

  /**
   * Records an endpoint's announcement, which {@link #onTick} sends to the recipients. One whose
   * sender may have turned to another host is ignored, as it may tell of a state long past.
   */
  void onAnnouncement(Announcement announcement, RequestAge age, Instant now) {
    if (!age.mayBeGivenUp(now)) {
      exchange.onAnnouncement(announcement, now);
    }
  }

  /** Records that an incarnation of an endpoint is leaving. */
  void onLeaving(EndpointId endpoint, long incarnation, Instant now) {
    exchange.onLeaving(endpoint, incarnation, now);
  }

  /**
   * Records that an endpoint is leaving, and returns the answer. A request that names no
   * incarnation is refused if another one may have announced itself since it was sent, or if none
   * is known.
   */
  ControlAction.Answer onDepartureRequested(ControlEvent.DepartureRequested request, Instant now) {
    OptionalLong incarnation = request.incarnation();
    if (incarnation.isEmpty() && now.isBefore(request.age().proposalDeadline())) {
      incarnation = knownIncarnation(request.endpoint());
    }
    if (incarnation.isEmpty()) {
      return new ControlAction.AnswerFailure(request.id(), UNKNOWN_INCARNATION);
    }
    exchange.onLeaving(request.endpoint(), incarnation.getAsLong(), now);
    return new ControlAction.AnswerCarriedOut(request.id());
  }

  private OptionalLong knownIncarnation(EndpointId endpoint) {
    return table
        .find(endpoint)
        .map(entry -> OptionalLong.of(entry.announcement().incarnation()))
        .orElseGet(OptionalLong::empty);
  }

  /** Adds a control host to the recipients of updates and requests a full update from it. */
  void onControlHostConnected(HostId peer, List<ControlAction> actions) {
    controlHosts.add(peer);
    addSends(exchange.onConnected(peer), actions);
  }

  void onDisconnected(HostId peer) {
    controlHosts.remove(peer);
    exchange.onDisconnected(peer);
  }

  /** Handles a message of a control host, or of a gateway that has seen endpoints leave. */
  void onMessage(HostId peer, MembershipMessage message, Instant now, List<ControlAction> actions) {
    if (message instanceof MembershipMessage.Update update && !controlHosts.contains(peer)) {
      update.items().forEach(item -> recordObservedDeparture(item, now));
      addSends(exchange.relayPauses(update), actions);
    }
    addSends(exchange.onMessage(peer, message, now), actions);
  }

  /** Tells the recipients what only a gateway knows; control hosts hear of each other's news. */
  private void recordObservedDeparture(MembershipMessage.Item item, Instant now) {
    if (item instanceof MembershipMessage.Item.Leaving leaving
        && !table.isLeaving(new EndpointIncarnation(leaving.endpoint(), leaving.incarnation()))) {
      exchange.onLeaving(leaving.endpoint(), leaving.incarnation(), now);
    }
  }

  /** Removes expired endpoints and sends the update that is due. */
  void onTick(Instant now, List<ControlAction> actions) {
    table.removeExpired(now);
    addSends(exchange.tick(now), actions);
  }

  private List<HostId> recipients(List<HostId> gateways) {
    List<HostId> all = new ArrayList<>(gateways);
    all.addAll(controlHosts);
    return all;
  }

  /** Adds an action for each message. */
  private static void addSends(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.peer(), m.message())));
  }
}
