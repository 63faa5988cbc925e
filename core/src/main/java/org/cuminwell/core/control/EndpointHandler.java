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
 * Passes what endpoints announce to this host on to gateways and the other control hosts.
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

  /** Records an endpoint's announcement. The next tick passes it on. */
  void onAnnouncement(Announcement announcement, Instant now) {
    exchange.onAnnouncement(announcement, now);
  }

  /**
   * Records that an endpoint is leaving; {@code incarnation} defaults to the known one. Ignored if
   * neither is present.
   */
  void onLeaving(EndpointId endpoint, OptionalLong incarnation, Instant now) {
    OptionalLong known =
        table
            .find(endpoint)
            .map(entry -> OptionalLong.of(entry.announcement().incarnation()))
            .orElseGet(OptionalLong::empty);
    (incarnation.isPresent() ? incarnation : known)
        .ifPresent(ending -> exchange.onLeaving(endpoint, ending, now));
  }

  /** Adds a control host to the recipients and asks it for its known endpoints. */
  void onControlHostConnected(HostId peer, List<ControlAction> actions) {
    controlHosts.add(peer);
    send(exchange.onConnected(peer), actions);
  }

  void onDisconnected(HostId peer) {
    controlHosts.remove(peer);
    exchange.onDisconnected(peer);
  }

  void onMessage(HostId peer, MembershipMessage message, Instant now, List<ControlAction> actions) {
    send(exchange.onMessage(peer, message, now), actions);
  }

  void onTick(Instant now, List<ControlAction> actions) {
    table.removeExpired(now);
    send(exchange.tick(now), actions);
  }

  private List<HostId> recipients(List<HostId> gateways) {
    List<HostId> all = new ArrayList<>(gateways);
    all.addAll(controlHosts);
    return all;
  }

  private static void send(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.peer(), m.message())));
  }
}
