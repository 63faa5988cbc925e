package org.cuminwell.core.distribution;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.distribution.DistributionMessage.RevisionInForce;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Sends the committed configuration and the directory to gateways.
 *
 * <p>One gateway of each data centre is its feeder: the first by name of those that are connected
 * and not stopping. It receives each difference and sends it on to its neighbours. Any other
 * gateway that reports a lower revision is only sent the number of the current one, and requests
 * the changes if its feeder does not send them. Invariant: a gateway is never sent anything older
 * than the revision that it reported. Not thread safe: one thread owns it.
 */
public final class Publisher {

  /** How long a feeder has to confirm a revision before the changes are sent again. */
  static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(1);

  /** Minimum time between two directory updates. */
  static final Duration DIRECTORY_PERIOD = Duration.ofSeconds(1);

  /** How long a disconnected gateway stays in the directory. */
  static final Duration DIRECTORY_GRACE = Duration.ofSeconds(10);

  private final ConfigurationHolder holder = new ConfigurationHolder();
  private final TreeSet<HostAddress> controlAddresses;
  private final TreeMap<HostId, GatewayStatus> gateways = new TreeMap<>();
  private final Map<HostId, Sent> lastSent = new HashMap<>();

  /** Gateways that have reported their revision over the current connection. */
  private final Set<HostId> reportedGateways = new HashSet<>();

  /** Gateways whose descriptions the next directory update contains. */
  private final TreeSet<HostId> changedDescriptions = new TreeSet<>();

  /** Gateways in the directory as last sent. */
  private final TreeSet<HostId> listedGateways = new TreeSet<>();

  private Instant directorySentAt = Instant.MIN;

  /** Records the last revision sent to a gateway. */
  private record Sent(Revision to, Instant at) {}

  /** Creates the publisher of a control host that knows the control hosts at these addresses. */
  public Publisher(Set<HostAddress> controlAddresses) {
    this.controlAddresses = new TreeSet<>(controlAddresses);
  }

  /** Applies a committed configuration, with the change that led to it from the previous one. */
  public void publish(Configuration configuration, ConfigurationChange change) {
    if (configuration.revision().isAfter(holder.revision())) {
      holder.applyIfNewer(configuration, change);
    }
  }

  /**
   * Applies a committed configuration without the change that led to it, for example at the start
   * or from a snapshot.
   */
  public void publish(Configuration configuration) {
    holder.applyIfNewer(configuration);
  }

  /** Returns the messages for a newly connected peer. */
  public List<OutgoingMessage> onConnected(HostId peer) {
    return List.of(
        messageTo(peer, new DirectoryMessage.ControlHello(controlAddresses)),
        messageTo(peer, new RevisionInForce(holder.revision())));
  }

  /** Returns a view of the peer addresses of the known control hosts, this one included. */
  public Set<HostAddress> controlAddresses() {
    return Collections.unmodifiableSet(controlAddresses);
  }

  /**
   * Records addresses of control hosts, and returns the messages that tell gateways of new ones.
   */
  public List<OutgoingMessage> addControlAddresses(Set<HostAddress> addresses) {
    if (!controlAddresses.addAll(addresses)) {
      return List.of();
    }
    return connectedGateways().stream()
        .map(gateway -> messageTo(gateway, new DirectoryMessage.ControlHello(controlAddresses)))
        .toList();
  }

  /** Records that a peer is disconnected. */
  public void onDisconnected(HostId peer, Instant now) {
    gateways.computeIfPresent(peer, (id, old) -> old.disconnectedAt(now));
    lastSent.remove(peer);
    reportedGateways.remove(peer);
    chooseFeeders();
  }

  /** Handles a directory message, and returns the messages to send. */
  public List<OutgoingMessage> onMessage(HostId peer, DirectoryMessage message, Instant now) {
    switch (message) {
      case DirectoryMessage.GatewayHello gatewayHello ->
          recordDescription(peer, gatewayHello.host(), now);
      case DirectoryMessage.ControlHello hello -> {
        return addControlAddresses(hello.controlAddresses());
      }
      case DirectoryMessage.Hosts hosts -> {}
    }
    return List.of();
  }

  /** Handles a message about the configuration, and returns the messages to send. */
  public List<OutgoingMessage> onMessage(HostId peer, DistributionMessage message, Instant now) {
    return switch (message) {
      case RevisionInForce m -> {
        recordReportedRevision(peer, m.revision());
        yield holder.revision().isAfter(m.revision()) && !isFeeder(peer)
            ? List.of(messageTo(peer, new RevisionInForce(holder.revision())))
            : List.of();
      }
      case DistributionMessage.ChangesRequest m -> {
        recordReportedRevision(peer, m.revisionInForce());
        lastSent.put(peer, new Sent(holder.revision(), now));
        yield List.of(
            messageTo(
                peer,
                holder.revision().isAfter(m.revisionInForce())
                    ? holder.messageAfter(m.revisionInForce())
                    : new RevisionInForce(holder.revision())));
      }
      case DistributionMessage.ConfirmedRevisions m -> {
        m.revisions().forEach(this::recordConfirmedRevision);
        yield List.of();
      }
      case DistributionMessage.LatestRevisionRequest m -> List.of();
      case DistributionMessage.LatestRevision m -> List.of();
      case DistributionMessage.Full m -> List.of();
      case DistributionMessage.Difference m -> List.of();
    };
  }

  /** Returns the changes and directory updates that are due. */
  public List<OutgoingMessage> tick(Instant now) {
    List<OutgoingMessage> out = new ArrayList<>();
    for (GatewayStatus gateway : gateways.values()) {
      if (gateway.feeder()) {
        sendChanges(gateway, now, out);
      }
    }
    sendDirectory(now, out);
    return out;
  }

  /** Returns the state of each gateway, ordered by name. */
  public Collection<GatewayStatus> gateways() {
    return List.copyOf(gateways.values());
  }

  /** Returns the revision that this control host has in force. */
  public Revision revision() {
    return holder.revision();
  }

  /** Records what a gateway says of itself; a peer may describe only itself. */
  private void recordDescription(HostId peer, HostDescription host, Instant now) {
    if (!host.id().equals(peer)) {
      return;
    }
    GatewayStatus known = gateways.get(peer);
    if (known != null && known.connected()) {
      gateways.put(peer, known.withDescription(host));
    } else {
      Revision revisionInForce = known == null ? Revision.ZERO : known.revisionInForce();
      gateways.put(peer, new GatewayStatus(host, revisionInForce, true, now, false));
    }
    changedDescriptions.add(peer);
    chooseFeeders();
  }

  /**
   * Records the revision that a gateway reports itself, which may be lower after a restart without
   * a disk.
   */
  private void recordReportedRevision(HostId peer, Revision revision) {
    reportedGateways.add(peer);
    gateways.computeIfPresent(peer, (id, old) -> old.withRevision(revision));
  }

  /**
   * Records the revision that a feeder reports for a neighbour, unless it is lower than known,
   * since it may be outdated.
   */
  private void recordConfirmedRevision(HostId peer, Revision revision) {
    gateways.computeIfPresent(
        peer,
        (id, old) -> revision.isAfter(old.revisionInForce()) ? old.withRevision(revision) : old);
  }

  private boolean isFeeder(HostId peer) {
    GatewayStatus gateway = gateways.get(peer);
    return gateway != null && gateway.feeder();
  }

  /**
   * Chooses the feeder of each data centre. A new feeder gets the descriptions of all connected
   * gateways.
   */
  private void chooseFeeders() {
    Map<Place, HostId> feeders = new HashMap<>();
    for (GatewayStatus gateway : gateways.values()) {
      if (gateway.connected() && !gateway.host().stopping()) {
        feeders.putIfAbsent(gateway.host().place(), gateway.host().id());
      }
    }
    gateways.replaceAll(
        (id, gateway) -> {
          boolean isFeeder = id.equals(feeders.get(gateway.host().place()));
          if (isFeeder && !gateway.feeder()) {
            lastSent.remove(id);
            changedDescriptions.addAll(connectedGateways());
          }
          return gateway.withFeeder(isFeeder);
        });
  }

  private List<HostId> connectedGateways() {
    return gateways.values().stream()
        .filter(GatewayStatus::connected)
        .map(gateway -> gateway.host().id())
        .toList();
  }

  /**
   * Sends a feeder the changes that it lacks, once it has reported its revision over this
   * connection.
   */
  private void sendChanges(GatewayStatus gateway, Instant now, List<OutgoingMessage> out) {
    HostId peer = gateway.host().id();
    Revision base = baseFor(gateway, now);
    if (reportedGateways.contains(peer) && holder.revision().isAfter(base)) {
      out.add(messageTo(peer, holder.messageAfter(base)));
      lastSent.put(peer, new Sent(holder.revision(), now));
    }
  }

  /** Returns the revision that the feeder has, or will have once the last changes have arrived. */
  private Revision baseFor(GatewayStatus gateway, Instant now) {
    Sent last = lastSent.get(gateway.host().id());
    if (last == null || !now.isBefore(last.at().plus(CONFIRM_TIMEOUT))) {
      return gateway.revisionInForce();
    }
    return last.to().isAfter(gateway.revisionInForce()) ? last.to() : gateway.revisionInForce();
  }

  /** Sends the feeders what has changed in the directory since the last update. */
  private void sendDirectory(Instant now, List<OutgoingMessage> out) {
    if (!directorySentAt.equals(Instant.MIN)
        && now.isBefore(directorySentAt.plus(DIRECTORY_PERIOD))) {
      return;
    }
    List<HostId> removed =
        listedGateways.stream()
            .filter(id -> isRemovedFromDirectory(gateways.get(id), now))
            .toList();
    if (changedDescriptions.isEmpty() && removed.isEmpty()) {
      return;
    }
    List<HostDescription> descriptions =
        changedDescriptions.stream()
            .map(gateways::get)
            .filter(gateway -> gateway != null && !isRemovedFromDirectory(gateway, now))
            .map(GatewayStatus::host)
            .toList();
    listedGateways.addAll(changedDescriptions);
    removed.forEach(listedGateways::remove);
    changedDescriptions.clear();
    directorySentAt = now;
    for (GatewayStatus gateway : gateways.values()) {
      if (gateway.feeder()) {
        out.add(messageTo(gateway.host().id(), new DirectoryMessage.Hosts(descriptions, removed)));
      }
    }
  }

  /** Returns whether the gateway no longer belongs in the directory. */
  private static boolean isRemovedFromDirectory(@Nullable GatewayStatus gateway, Instant now) {
    return gateway == null
        || (!gateway.connected()
            && !now.isBefore(gateway.connectionChangedAt().plus(DIRECTORY_GRACE)));
  }

  private static OutgoingMessage messageTo(HostId peer, DirectoryMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Directory(message));
  }

  private static OutgoingMessage messageTo(HostId peer, DistributionMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Distribution(message));
  }
}
