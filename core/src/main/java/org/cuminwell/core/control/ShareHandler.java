package org.cuminwell.core.control;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.limit.LimitMessage;
import org.cuminwell.core.limit.ShareGranter;
import org.cuminwell.core.limit.ShareHolder.AddressedMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Grants shares of customers' rate limits to gateways while this control host leads.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class ShareHandler {

  private final ShareGranter granter = new ShareGranter();

  /**
   * Updates configuration and leadership, and sends what is due.
   *
   * @param term the term in which this host leads with a valid lease; empty if it does not lead
   */
  void update(
      OptionalLong term, Configuration configuration, Instant now, List<ControlAction> actions) {
    granter.configure(configuration);
    if (term.isEmpty()) {
      granter.stepDown();
      return;
    }
    send(granter.becomeLeader(term.getAsLong(), now), actions);
    send(granter.tick(now), actions);
  }

  /** Records a gateway's message, which the next update answers. */
  void onMessage(HostId gateway, LimitMessage message, Instant now) {
    granter.onMessage(gateway, message, now);
  }

  void onConnected(HostId gateway, List<ControlAction> actions) {
    send(granter.onConnected(gateway), actions);
  }

  void onDisconnected(HostId gateway) {
    granter.onDisconnected(gateway);
  }

  private static void send(List<AddressedMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.to(), new PeerMessage.Limits(m.message()))));
  }
}
