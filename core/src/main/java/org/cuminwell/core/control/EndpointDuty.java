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
 * Tells gateways and the other control hosts what endpoints say to this one.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class EndpointDuty {

  private final EndpointTable table = new EndpointTable();
  private final TreeSet<HostId> controls = new TreeSet<>();
  private final MembershipExchange exchange;

  /** Makes the duty; {@code gateways} tells which gateways are in contact. */
  EndpointDuty(Supplier<List<HostId>> gateways) {
    exchange = new MembershipExchange(() -> audience(gateways.get()), table);
  }

  /** Returns what is known of endpoints. */
  EndpointTable table() {
    return table;
  }

  /** Takes in what an endpoint says of itself; the next tick passes it on. */
  void announced(Announcement news, Instant now) {
    exchange.onAnnouncement(news, now);
  }

  /** Takes in that an endpoint leaves. */
  void left(EndpointId endpoint, OptionalLong incarnation, Instant now) {
    OptionalLong known =
        table
            .find(endpoint)
            .map(entry -> OptionalLong.of(entry.announcement().incarnation()))
            .orElseGet(OptionalLong::empty);
    (incarnation.isPresent() ? incarnation : known)
        .ifPresent(life -> exchange.onLeaving(endpoint, life, now));
  }

  void foundControl(HostId peer, List<ControlAction> actions) {
    controls.add(peer);
    tell(exchange.onConnected(peer), actions);
  }

  void lost(HostId peer) {
    controls.remove(peer);
    exchange.onDisconnected(peer);
  }

  void hear(HostId peer, MembershipMessage message, Instant now, List<ControlAction> actions) {
    tell(exchange.onMessage(peer, message, now), actions);
  }

  void tick(Instant now, List<ControlAction> actions) {
    table.removeExpired(now);
    tell(exchange.tick(now), actions);
  }

  private List<HostId> audience(List<HostId> gateways) {
    List<HostId> all = new ArrayList<>(gateways);
    all.addAll(controls);
    return all;
  }

  private static void tell(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.peer(), m.message())));
  }
}
