package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.MembershipExchange;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;

/**
 * Forwards endpoint announcements and departures received by this host to the gateways and the
 * other control hosts.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class EndpointHandler {

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

  /** Records an endpoint's announcement, which {@link #onTick} sends to the recipients. */
  void onAnnouncement(Announcement announcement, Instant now) {
    exchange.onAnnouncement(announcement, now);
  }

  /**
   * Records that an incarnation of an endpoint is leaving. If {@code incarnation} is empty, this is
   * the incarnation in the table; if the table has none either, the call has no effect.
   */
  void onLeaving(EndpointId endpoint, OptionalLong incarnation, Instant now) {
    OptionalLong known =
        table
            .find(endpoint)
            .map(entry -> OptionalLong.of(entry.announcement().incarnation()))
            .orElseGet(OptionalLong::empty);
    (incarnation.isPresent() ? incarnation : known)
        .ifPresent(leavingIncarnation -> exchange.onLeaving(endpoint, leavingIncarnation, now));
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

  void onMessage(HostId peer, MembershipMessage message, Instant now, List<ControlAction> actions) {
    addSends(exchange.onMessage(peer, message, now), actions);
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
