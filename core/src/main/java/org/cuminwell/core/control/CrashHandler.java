package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.crash.CrashExchange;
import org.cuminwell.core.crash.CrashUpdate;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;

/**
 * Passes evidence on crashes between gateways, whether this control host leads or not.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class CrashHandler {

  private final EndpointTable endpoints;
  private final Supplier<List<HostId>> gateways;
  private final TreeSet<HostId> controlHosts = new TreeSet<>();
  private final CrashEvidence evidence;
  private final CrashExchange exchange;

  /** Creates the handler. {@code gateways} supplies the connected gateways. */
  CrashHandler(HostId self, EndpointTable endpoints, Supplier<List<HostId>> gateways) {
    this.endpoints = endpoints;
    this.gateways = gateways;
    this.evidence = CrashEvidence.ofControlHost(self);
    this.exchange = new CrashExchange(evidence, this::recipients);
  }

  /** Sends what is known to a host that has just connected, before anything else. */
  void onConnected(HostId peer, Instant now, List<ControlAction> actions) {
    addSends(exchange.onConnected(peer, now), actions);
  }

  /** Adds a control host to the recipients of changes. */
  void onControlHostConnected(HostId peer) {
    controlHosts.add(peer);
  }

  void onDisconnected(HostId peer) {
    controlHosts.remove(peer);
  }

  void onMessage(CrashUpdate update, Instant now) {
    exchange.onMessage(update, now);
  }

  /**
   * Sends the changes that are due. What this host concludes itself is not logged, since it refuses
   * no request.
   */
  void onTick(Instant now, List<ControlAction> actions) {
    evidence.tick(endpoints::hasRestarted, now);
    var _ = evidence.takeLogEvents();
    addSends(exchange.tick(now), actions);
  }

  private List<HostId> recipients() {
    List<HostId> all = new ArrayList<>(gateways.get());
    all.addAll(controlHosts);
    return all;
  }

  private static void addSends(List<OutgoingMessage> messages, List<ControlAction> actions) {
    messages.forEach(m -> actions.add(new SendToPeer(m.peer(), m.message())));
  }
}
