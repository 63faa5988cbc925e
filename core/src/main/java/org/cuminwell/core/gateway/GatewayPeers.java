package org.cuminwell.core.gateway;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.crash.CrashExchange;
import org.cuminwell.core.crash.CrashUpdate;
import org.cuminwell.core.crash.EndpointIncarnation;
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
import org.cuminwell.core.routing.LoadSharing;

/**
 * Maintains a gateway's connections and exchanges with the control hosts and the other gateways of
 * its data centre.
 *
 * <p>Of two gateways of a data centre, the one with the lower name dials the other. It keeps
 * dialling until a control host reports the other as removed, so that gateways of a data centre
 * find each other again even while it is cut off from control. Not thread safe: one thread owns it.
 */
final class GatewayPeers {

  /**
   * With no more endpoints each gateway sees much of their load in its own responses, and the
   * exchange costs a small host more than it gains.
   */
  private static final int MAX_ENDPOINTS_WITHOUT_SHARING = 24;

  private final ConnectedPeers connectedPeers;
  private final ConfigurationHolder configuration;
  private final HostDirectory directory;
  private final EndpointTable endpoints;
  private final Subscriber subscriber;
  private final MembershipExchange membership;
  private final CrashExchange crashes;
  private final LoadSharing loadSharing;
  private final TreeMap<HostId, HostAddress> dialledAddresses = new TreeMap<>();
  private HostDescription self;
  private Revision storedRevision;
  private boolean receivesFromControl;

  GatewayPeers(
      HostDescription self,
      ConfigurationHolder configuration,
      HostDirectory directory,
      EndpointTable endpoints,
      CrashEvidence crashEvidence,
      LoadSharing loadSharing) {
    this.loadSharing = loadSharing;
    this.self = self;
    this.configuration = configuration;
    this.directory = directory;
    this.endpoints = endpoints;
    this.connectedPeers = new ConnectedPeers(self.place());
    this.subscriber = new Subscriber(self.id(), connectedPeers, configuration);
    this.membership = new MembershipExchange(connectedPeers::neighbours, endpoints);
    this.crashes = new CrashExchange(crashEvidence, connectedPeers::neighboursAndControlHosts);
    this.storedRevision = configuration.revision();
    directory.recordConnected(self);
  }

  /** Returns whether requests may be served from the configuration in force. */
  boolean isServing() {
    return subscriber.isServing();
  }

  /**
   * Returns the time up to which every change that was committed anywhere is in force on this host.
   */
  Instant currentAsOf() {
    return subscriber.currentAsOf();
  }

  /** Returns the peers in contact. */
  ConnectedPeers connectedPeers() {
    return connectedPeers;
  }

  /**
   * Records that the configuration in force was restored from this host's disk and need not be
   * stored again.
   */
  void recordRestored() {
    storedRevision = configuration.revision();
  }

  /** Introduces this gateway to a peer that has just connected. */
  void onConnected(HostId peer, List<GatewayAction> actions) {
    actions.add(directoryMessage(peer, new DirectoryMessage.GatewayHello(self)));
    addMessages(subscriber.onConnected(peer), actions);
  }

  /** Removes the state of a peer that has disconnected. */
  void onDisconnected(HostId peer) {
    connectedPeers.remove(peer);
    subscriber.onDisconnected(peer);
    membership.onDisconnected(peer);
    loadSharing.onDisconnected(peer);
    directory.recordDisconnected(peer, self.place());
  }

  /** Handles a message that distributes the configuration. */
  void onMessage(
      HostId peer, DistributionMessage message, Instant now, List<GatewayAction> actions) {
    addMessages(subscriber.onMessage(peer, message, now), actions);
    storeIfNewer(actions);
  }

  /** Handles a message about the entry hosts. */
  void onMessage(HostId peer, DirectoryMessage message, Instant now, List<GatewayAction> actions) {
    switch (message) {
      case DirectoryMessage.GatewayHello hello -> onGatewayHello(peer, hello.host(), now, actions);
      case DirectoryMessage.ControlHello hello -> {
        connectedPeers.addControlHost(peer);
        hello.controlAddresses().forEach(address -> actions.add(new Dial(address)));
        addMessages(membership.onConnected(peer), actions);
        addMessages(membership.departuresTo(List.of(peer)), actions);
        addMessages(crashes.onConnected(peer, now), actions);
      }
      case DirectoryMessage.Hosts hosts -> onHosts(peer, hosts, actions);
    }
  }

  /**
   * Handles a message with endpoint announcements that a neighbour or control host received;
   * ignores other senders.
   */
  void onMessage(HostId peer, MembershipMessage message, Instant now, List<GatewayAction> actions) {
    if (connectedPeers.isNeighbour(peer) || connectedPeers.isControlHost(peer)) {
      addMessages(membership.onMessage(peer, message, now), actions);
    }
    if (connectedPeers.isNeighbour(peer) && message instanceof MembershipMessage.Update update) {
      update.loads().ifPresent(digest -> loadSharing.onDigest(peer, digest, now));
    }
  }

  /** Handles evidence on crashes; ignores that of other data centres' gateways. */
  void onMessage(HostId peer, CrashUpdate update, Instant now) {
    if (connectedPeers.isNeighbour(peer) || connectedPeers.isControlHost(peer)) {
      crashes.onMessage(update, now);
    }
  }

  /** Records an announcement that an endpoint made to this gateway. */
  void onAnnouncement(Announcement announcement, Instant now) {
    membership.onAnnouncement(announcement, now);
  }

  /** Records a load report that an endpoint made to this gateway. */
  void onLoadReport(LoadReport report) {
    membership.onLoadReport(report);
  }

  /** Records that an endpoint has announced to this gateway that it is about to stop. */
  void onLeaving(EndpointId endpoint, long incarnation, Instant now) {
    membership.onLeaving(endpoint, incarnation, now);
  }

  /**
   * Tells the neighbours and the control hosts, which tell all other gateways, that an endpoint has
   * said in a response that it leaves.
   */
  void onDepartureObserved(EndpointIncarnation endpoint, Instant now, List<GatewayAction> actions) {
    membership.onLeaving(endpoint.endpoint(), endpoint.incarnation(), now);
    addMessages(membership.departuresTo(connectedPeers.controlHosts()), actions);
  }

  /** Sends the messages that are due. */
  void tick(Instant now, List<GatewayAction> actions) {
    addMessages(subscriber.tick(now), actions);
    addMessages(membership.tick(now), actions);
    addMessages(membership.pausesTo(connectedPeers.neighboursAndControlHosts(), now), actions);
    shareLoads(now, actions);
    addMessages(crashes.tick(now), actions);
  }

  /** Sends the load that this gateway puts on endpoints to some neighbours, if it is due. */
  private void shareLoads(Instant now, List<GatewayAction> actions) {
    if (endpoints.size() <= MAX_ENDPOINTS_WITHOUT_SHARING) {
      return;
    }
    List<HostDescription> region =
        directory.all().stream()
            .filter(host -> !host.stopping())
            .filter(host -> host.place().region().equals(self.place().region()))
            .toList();
    long dataCentres = region.stream().map(host -> host.place().dataCentre()).distinct().count();
    loadSharing.setRegion((int) dataCentres, region.size());
    loadSharing
        .takeDue(connectedPeers.neighbours(), now)
        .ifPresent(due -> addMessages(membership.loadsTo(due.recipients(), due.digest()), actions));
  }

  /** Announces to all peers whether this host accepts new callers, if that has changed. */
  void setAcceptsCallers(boolean accepts, List<GatewayAction> actions) {
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
    peers.forEach(
        peer -> actions.add(directoryMessage(peer, new DirectoryMessage.GatewayHello(self))));
  }

  /**
   * Records a gateway that has introduced itself, and sends the known entry hosts to a new one of
   * the same data centre.
   */
  private void onGatewayHello(
      HostId peer, HostDescription host, Instant now, List<GatewayAction> actions) {
    if (!host.id().equals(peer)) {
      return;
    }
    boolean isNew = !connectedPeers.isNeighbour(peer);
    connectedPeers.addGateway(host);
    directory.recordConnected(host);
    if (connectedPeers.isNeighbour(peer) && isNew) {
      List<HostDescription> known =
          directory.all().stream()
              .filter(other -> receivesFromControl || other.place().equals(self.place()))
              .toList();
      actions.add(directoryMessage(peer, new DirectoryMessage.Hosts(known, List.of())));
      addMessages(membership.onConnected(peer), actions);
      addMessages(crashes.onConnected(peer, now), actions);
      actions.add(
          new SendToPeer(
              peer,
              new PeerMessage.Distribution(
                  new DistributionMessage.RevisionInForce(configuration.revision()))));
    }
    dialNew(List.of(host), actions);
  }

  /** Updates the directory, and relays updates from a control host to the neighbours. */
  private void onHosts(HostId peer, DirectoryMessage.Hosts hosts, List<GatewayAction> actions) {
    directory.update(hosts);
    directory.recordConnected(self);
    if (connectedPeers.isControlHost(peer)) {
      receivesFromControl = true;
      connectedPeers
          .neighbours()
          .forEach(neighbour -> actions.add(directoryMessage(neighbour, hosts)));
    }
    for (HostId removed : hosts.removed()) {
      HostAddress address = dialledAddresses.remove(removed);
      if (address != null) {
        actions.add(new StopReconnecting(address));
      }
    }
    dialNew(hosts.hosts(), actions);
  }

  private void dialNew(List<HostDescription> hosts, List<GatewayAction> actions) {
    for (HostDescription host : hosts) {
      boolean dialledFromHere =
          host.place().equals(self.place()) && self.id().compareTo(host.id()) < 0;
      if (!dialledFromHere || host.peerAddress().equals(dialledAddresses.get(host.id()))) {
        continue;
      }
      HostAddress oldAddress = dialledAddresses.put(host.id(), host.peerAddress());
      if (oldAddress != null) {
        actions.add(new StopReconnecting(oldAddress));
      }
      actions.add(new Dial(host.peerAddress()));
    }
  }

  private void storeIfNewer(List<GatewayAction> actions) {
    if (configuration.revision().isAfter(storedRevision)) {
      storedRevision = configuration.revision();
      actions.add(new StoreConfiguration(configuration.index().configuration()));
    }
  }

  private static void addMessages(List<OutgoingMessage> messages, List<GatewayAction> actions) {
    messages.forEach(message -> actions.add(new SendToPeer(message.peer(), message.message())));
  }

  private static SendToPeer directoryMessage(HostId peer, DirectoryMessage message) {
    return new SendToPeer(peer, new PeerMessage.Directory(message));
  }
}
