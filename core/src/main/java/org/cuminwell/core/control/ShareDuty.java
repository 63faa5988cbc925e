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
 * Grants shares of customers' limits while this control host leads.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class ShareDuty {

  private final ShareGranter granter = new ShareGranter();

  /**
   * Does what is due.
   *
   * @param term the term in which this host leads with a live lease, or empty if it does not
   */
  void step(
      OptionalLong term, Configuration configuration, Instant now, List<ControlAction> actions) {
    granter.configure(configuration);
    if (term.isEmpty()) {
      granter.stepDown();
      return;
    }
    tell(granter.becomeLeader(term.getAsLong(), now), actions);
    tell(granter.tick(now), actions);
  }

  void hear(HostId gateway, LimitMessage message, Instant now, List<ControlAction> actions) {
    tell(granter.onMessage(gateway, message, now), actions);
  }

  void connected(HostId gateway, List<ControlAction> actions) {
    tell(granter.onConnected(gateway), actions);
  }

  void lost(HostId gateway) {
    granter.onDisconnected(gateway);
  }

  private static void tell(List<AddressedMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.to(), new PeerMessage.Limits(m.message()))));
  }
}
