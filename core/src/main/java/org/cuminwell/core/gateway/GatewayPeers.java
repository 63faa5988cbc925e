package org.cuminwell.core.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.cuminwell.core.directory.ConnectedPeers;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.distribution.Subscriber;
import org.cuminwell.core.gateway.GatewayAction.Dial;
import org.cuminwell.core.gateway.GatewayAction.SendToPeer;
import org.cuminwell.core.gateway.GatewayAction.StopReconnecting;
import org.cuminwell.core.gateway.GatewayAction.StoreConfiguration;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.LoadReport;
import org.cuminwell.core.membership.MembershipExchange;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Keeps a gateway in touch with the control hosts and with the gateways of its data centre.
 *
 * <p>Of two gateways of a data centre the one with the lower name dials the other. Each is dialled
 * until a control host says that it has gone, so that neighbours find each other again while cut
 * off. Not thread safe: one thread owns it.
 */
final class GatewayPeers {

  private final ConnectedPeers connectedPeers;
  private final ConfigurationHolder configuration;
  private final HostDirectory directory;
  private final Subscriber subscriber;
  private final MembershipExchange membership;
  private final TreeMap<HostId, HostAddress> dialled = new TreeMap<>();
  private HostDescription self;
  private Revision kept;
  private boolean fedWithDirectory;

  GatewayPeers(
      HostDescription self,
      ConfigurationHolder configuration,
      HostDirectory directory,
      EndpointTable endpoints) {
    this.self = self;
    this.configuration = configuration;
    this.directory = directory;
    this.connectedPeers = new ConnectedPeers(self.place());
    this.subscriber = new Subscriber(self.id(), connectedPeers, configuration);
    this.membership = new MembershipExchange(connectedPeers::neighbours, endpoints);
    this.kept = configuration.revision();
    directory.recordConnected(self);
  }

  /** Returns whether the configuration may be served from. */
  boolean isServing() {
    return subscriber.isServing();
  }

  /** Returns the moment before which every change committed anywhere is in force here. */
  Instant currentAsOf() {
    return subscriber.currentAsOf();
  }

  /** Returns who is in contact. */
  ConnectedPeers contacts() {
    return connectedPeers;
  }

  /** Takes in that the configuration in force comes from this host's disk. */
  void restored() {
    kept = configuration.revision();
  }

  /** Greets a peer that has just been reached. */
  void connected(HostId peer, List<GatewayAction> actions) {
    actions.add(tell(peer, new DirectoryMessage.GatewayHello(self)));
    send(subscriber.onConnected(peer), actions);
  }

  /** Takes in that a peer can't be reached. */
  void lost(HostId peer) {
    connectedPeers.remove(peer);
    subscriber.onDisconnected(peer);
    membership.onDisconnected(peer);
    directory.recordDisconnected(peer, self.place());
  }

  /** Takes in a message about the configuration. */
  void hear(HostId peer, DistributionMessage message, Instant now, List<GatewayAction> actions) {
    send(subscriber.onMessage(peer, message, now), actions);
    keep(actions);
  }

  /** Takes in a message about the entry hosts. */
  void hear(HostId peer, DirectoryMessage message, List<GatewayAction> actions) {
    switch (message) {
      case DirectoryMessage.GatewayHello gatewayHello -> meet(peer, gatewayHello.host(), actions);
      case DirectoryMessage.ControlHello here -> {
        connectedPeers.addControlHost(peer);
        here.controlAddresses().forEach(address -> actions.add(new Dial(address)));
        send(membership.onConnected(peer), actions);
      }
      case DirectoryMessage.Hosts hosts -> learn(peer, hosts, actions);
    }
  }

  /** Takes in what a neighbour or control host heard from endpoints. */
  void hear(HostId peer, MembershipMessage message, Instant now, List<GatewayAction> actions) {
    if (connectedPeers.isNeighbour(peer) || connectedPeers.isControlHost(peer)) {
      send(membership.onMessage(peer, message, now), actions);
    }
  }

  /** Takes in an announcement that an endpoint made to this gateway. */
  void announced(Announcement news, Instant now) {
    membership.onAnnouncement(news, now);
  }

  /** Takes in a load report that an endpoint made to this gateway. */
  void reported(LoadReport report) {
    membership.onLoadReport(report);
  }

  /** Takes in that an endpoint said to this gateway that it leaves. */
  void leaving(EndpointId endpoint, long incarnation, Instant now) {
    membership.onLeaving(endpoint, incarnation, now);
  }

  /** Does what is due by now. */
  void tick(Instant now, List<GatewayAction> actions) {
    send(subscriber.tick(now), actions);
    send(membership.tick(now), actions);
  }

  /** Tells everyone whether this host takes new callers, if that has changed. */
  void accept(boolean accepts, List<GatewayAction> actions) {
    if (self.stopping() != accepts) {
      return;
    }
    self =
        new HostDescription(
            self.id(),
            self.place(),
            self.callerAddress(),
            self.internalAddress(),
            self.peerAddress(),
            self.load(),
            !accepts);
    directory.recordConnected(self);
    List<HostId> peers = new ArrayList<>(connectedPeers.controlHosts());
    peers.addAll(connectedPeers.neighbours());
    peers.addAll(connectedPeers.remoteGateways());
    peers.forEach(peer -> actions.add(tell(peer, new DirectoryMessage.GatewayHello(self))));
  }

  /** Meets a gateway; one of the same data centre is told of the others there. */
  private void meet(HostId peer, HostDescription host, List<GatewayAction> actions) {
    if (!host.id().equals(peer)) {
      return;
    }
    boolean isNew = !connectedPeers.isNeighbour(peer);
    connectedPeers.addGateway(host);
    directory.recordConnected(host);
    if (connectedPeers.isNeighbour(peer) && isNew) {
      List<HostDescription> known =
          directory.all().stream()
              .filter(other -> fedWithDirectory || other.place().equals(self.place()))
              .toList();
      actions.add(tell(peer, new DirectoryMessage.Hosts(known, List.of())));
      send(membership.onConnected(peer), actions);
      actions.add(
          new SendToPeer(
              peer,
              new PeerMessage.Distribution(
                  new DistributionMessage.RevisionInForce(configuration.revision()))));
    }
    dial(List.of(host), actions);
  }

  /** Learns of hosts, and passes on what a control host tells. */
  private void learn(HostId peer, DirectoryMessage.Hosts hosts, List<GatewayAction> actions) {
    directory.update(hosts);
    directory.recordConnected(self);
    if (connectedPeers.isControlHost(peer)) {
      fedWithDirectory = true;
      connectedPeers.neighbours().forEach(neighbour -> actions.add(tell(neighbour, hosts)));
    }
    for (HostId gone : hosts.removed()) {
      HostAddress address = dialled.remove(gone);
      if (address != null) {
        actions.add(new StopReconnecting(address));
      }
    }
    dial(hosts.hosts(), actions);
  }

  private void dial(List<HostDescription> hosts, List<GatewayAction> actions) {
    for (HostDescription host : hosts) {
      boolean isMine = host.place().equals(self.place()) && self.id().compareTo(host.id()) < 0;
      if (!isMine || host.peerAddress().equals(dialled.get(host.id()))) {
        continue;
      }
      HostAddress old = dialled.put(host.id(), host.peerAddress());
      if (old != null) {
        actions.add(new StopReconnecting(old));
      }
      actions.add(new Dial(host.peerAddress()));
    }
  }

  private void keep(List<GatewayAction> actions) {
    if (configuration.revision().isAfter(kept)) {
      kept = configuration.revision();
      actions.add(new StoreConfiguration(configuration.index().configuration()));
    }
  }

  private static void send(List<OutgoingMessage> messages, List<GatewayAction> actions) {
    messages.forEach(out -> actions.add(new SendToPeer(out.peer(), out.message())));
  }

  private static SendToPeer tell(HostId peer, DirectoryMessage message) {
    return new SendToPeer(peer, new PeerMessage.Directory(message));
  }
}
