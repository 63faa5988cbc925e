package org.cuminwell.core.distribution;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.directory.ConnectedPeers;
import org.cuminwell.core.distribution.ConfigurationHolder.Outcome;
import org.cuminwell.core.distribution.DistributionMessage.ChangesRequest;
import org.cuminwell.core.distribution.DistributionMessage.ConfirmedRevisions;
import org.cuminwell.core.distribution.DistributionMessage.RevisionInForce;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a gateway's configuration up to date with control hosts and neighbours.
 *
 * <p>Changes from a control host are sent on to the neighbours. A gateway that receives a report of
 * a higher revision requests the changes from one peer at a time, neighbours before control hosts,
 * which also makes up for lost messages. Invariants: the revision never decreases; a gateway that
 * may serve keeps serving. Not thread safe: one thread owns it.
 */
public final class Subscriber {

  /**
   * How long a starting gateway waits for neighbours and control hosts to report their revisions.
   */
  public static final Duration START_WAIT = Duration.ofSeconds(2);

  /** How long a starting gateway waits for a revision that was reported but cannot be obtained. */
  public static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(10);

  /**
   * How long a starting gateway waits for a report of a neighbour before it requests changes from
   * control hosts, in case a neighbour has the configuration.
   */
  static final Duration NEIGHBOUR_WAIT = Duration.ofMillis(500);

  /** Maximum number of latest-revision responses that wait for their revision to be in force. */
  private static final int MAX_PENDING_RESPONSES = 64;

  /** How long a peer has to answer a request for changes before another peer is asked. */
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

  /** How often a control host is asked for the latest revision. */
  static final Duration LATEST_REVISION_PERIOD = Duration.ofMillis(500);

  /** How often neighbours are sent the revision in force. */
  static final Duration NEIGHBOUR_REPORT_PERIOD = Duration.ofSeconds(1);

  /** How often control hosts are sent the revision in force. */
  static final Duration CONTROL_REPORT_PERIOD = Duration.ofSeconds(5);

  /** Minimum time between two confirmations to control hosts. */
  static final Duration CONFIRM_PERIOD = Duration.ofMillis(200);

  private final HostId self;
  private final ConnectedPeers connectedPeers;
  private final ConfigurationHolder holder;
  private final TreeMap<HostId, Revision> peerRevisions = new TreeMap<>();
  private @Nullable Instant startedAt;
  private Instant reportedToNeighboursAt = Instant.MIN;
  private Instant reportedToControlAt = Instant.MIN;
  private Instant confirmedAt = Instant.MIN;
  private Instant requestedAt = Instant.MIN;
  private @Nullable HostId requestedFrom;
  private ConfirmedRevisions lastConfirmed = new ConfirmedRevisions(java.util.Map.of());

  /** Highest revision that any peer has reported. */
  private Revision highestReported = Revision.ZERO;

  /** Latest revisions that are not in force yet, by the time of the request. */
  private final TreeMap<Instant, Revision> pendingResponses = new TreeMap<>();

  private Instant currentAsOf = Instant.MIN;
  private Instant latestRevisionRequestedAt = Instant.MIN;
  private int controlHostIndex;
  private boolean hasNeighbourReported;

  /** Whether the last revision applied came from a control host. */
  private boolean receivesFromControl;

  private boolean serving;

  /** Creates the subscriber of a gateway that is starting. */
  public Subscriber(HostId self, ConnectedPeers connectedPeers, ConfigurationHolder holder) {
    this.self = self;
    this.connectedPeers = connectedPeers;
    this.holder = holder;
  }

  /** Returns whether the gateway may serve with the configuration in force. */
  public boolean isServing() {
    return serving;
  }

  /** Returns the time before which every committed change is in force at this gateway. */
  public Instant currentAsOf() {
    return currentAsOf;
  }

  /** Returns the messages for a newly connected peer. */
  public List<OutgoingMessage> onConnected(HostId peer) {
    return List.of(messageTo(peer, new RevisionInForce(holder.revision())));
  }

  /** Records that a peer is disconnected. */
  public void onDisconnected(HostId peer) {
    peerRevisions.remove(peer);
    if (peer.equals(requestedFrom)) {
      requestedAt = Instant.MIN;
    }
  }

  /** Handles a message, and returns the messages to send. */
  public List<OutgoingMessage> onMessage(HostId peer, DistributionMessage message, Instant now) {
    List<OutgoingMessage> out = new ArrayList<>();
    recordStart(now);
    switch (message) {
      case DistributionMessage.Full m -> {
        if (holder.applyIfNewer(m.configuration())) {
          propagate(peer, out);
        }
        recordRevision(peer, m.configuration().revision());
        endRequest(peer);
      }
      case DistributionMessage.Difference m -> {
        if (holder.apply(m) == Outcome.APPLIED) {
          propagate(peer, out);
        }
        recordRevision(peer, m.to());
        endRequest(peer);
      }
      case RevisionInForce m -> recordRevision(peer, m.revision());
      case ChangesRequest m -> {
        recordRevision(peer, m.revisionInForce());
        out.add(
            messageTo(
                peer,
                holder.revision().isAfter(m.revisionInForce())
                    ? holder.messageAfter(m.revisionInForce())
                    : new RevisionInForce(holder.revision())));
      }
      case ConfirmedRevisions m -> {}
      case DistributionMessage.LatestRevisionRequest m -> {}
      case DistributionMessage.LatestRevision m -> {
        recordRevision(peer, m.revision());
        pendingResponses.put(m.askedAt(), m.revision());
      }
    }
    updateCurrentAsOf();
    requestChanges(now, out);
    updateServing(now);
    return out;
  }

  /** Returns the reports and requests that are due. */
  public List<OutgoingMessage> tick(Instant now) {
    List<OutgoingMessage> out = new ArrayList<>();
    recordStart(now);
    if (isDue(reportedToNeighboursAt, NEIGHBOUR_REPORT_PERIOD, now)) {
      reportedToNeighboursAt = now;
      connectedPeers
          .neighbours()
          .forEach(peer -> out.add(messageTo(peer, new RevisionInForce(holder.revision()))));
    }
    if (isDue(reportedToControlAt, CONTROL_REPORT_PERIOD, now)) {
      reportedToControlAt = now;
      connectedPeers
          .controlHosts()
          .forEach(peer -> out.add(messageTo(peer, new RevisionInForce(holder.revision()))));
    }
    confirm(now, out);
    requestLatestRevision(now, out);
    requestChanges(now, out);
    updateServing(now);
    return out;
  }

  /**
   * Asks a control host for the latest revision; moves on to the next host if the last one did not
   * answer in time.
   */
  private void requestLatestRevision(Instant now, List<OutgoingMessage> out) {
    List<HostId> controlHosts = connectedPeers.controlHosts();
    if (controlHosts.isEmpty() || !isDue(latestRevisionRequestedAt, LATEST_REVISION_PERIOD, now)) {
      return;
    }
    boolean isAnswered =
        !latestRevisionRequestedAt.isAfter(currentAsOf)
            || pendingResponses.containsKey(latestRevisionRequestedAt);
    if (!isAnswered) {
      controlHostIndex++;
    }
    latestRevisionRequestedAt = now.truncatedTo(ChronoUnit.MICROS);
    out.add(
        messageTo(
            controlHosts.get(Math.floorMod(controlHostIndex, controlHosts.size())),
            new DistributionMessage.LatestRevisionRequest(latestRevisionRequestedAt)));
  }

  /** Advances {@link #currentAsOf} to the latest request whose answered revision is in force. */
  private void updateCurrentAsOf() {
    pendingResponses
        .entrySet()
        .removeIf(
            response -> {
              boolean isInForce = !response.getValue().isAfter(holder.revision());
              if (isInForce && response.getKey().isAfter(currentAsOf)) {
                currentAsOf = response.getKey();
              }
              return isInForce;
            });
    while (pendingResponses.size() > MAX_PENDING_RESPONSES) {
      pendingResponses.pollFirstEntry();
    }
  }

  /** Records the revision that a peer has. */
  private void recordRevision(HostId peer, Revision revision) {
    peerRevisions.put(peer, revision);
    hasNeighbourReported |= connectedPeers.isNeighbour(peer);
    if (revision.isAfter(highestReported)) {
      highestReported = revision;
    }
  }

  /** Allows the next request at once if the peer has answered the pending one. */
  private void endRequest(HostId peer) {
    if (peer.equals(requestedFrom)) {
      requestedAt = Instant.MIN;
    }
  }

  /**
   * Reports the applied revision to its sender. If that is no neighbour, also sends the changes to
   * the neighbours.
   */
  private void propagate(HostId from, List<OutgoingMessage> out) {
    out.add(messageTo(from, new RevisionInForce(holder.revision())));
    receivesFromControl = !connectedPeers.isNeighbour(from);
    if (!receivesFromControl) {
      return;
    }
    for (HostId neighbour : connectedPeers.neighbours()) {
      Revision neighbourRevision = peerRevisions.getOrDefault(neighbour, Revision.ZERO);
      if (holder.revision().isAfter(neighbourRevision)) {
        out.add(messageTo(neighbour, holder.messageAfter(neighbourRevision)));
      }
    }
  }

  /**
   * Reports the revisions of this data centre to the control hosts, if this gateway received its
   * last revision from a control host.
   */
  private void confirm(Instant now, List<OutgoingMessage> out) {
    if (!receivesFromControl || !isDue(confirmedAt, CONFIRM_PERIOD, now)) {
      return;
    }
    TreeMap<HostId, Revision> revisions = new TreeMap<>();
    for (HostId neighbour : connectedPeers.neighbours()) {
      if (peerRevisions.containsKey(neighbour)) {
        revisions.put(neighbour, peerRevisions.get(neighbour));
      }
    }
    revisions.put(self, holder.revision());
    ConfirmedRevisions confirmation = new ConfirmedRevisions(revisions);
    if (!confirmation.equals(lastConfirmed)) {
      lastConfirmed = confirmation;
      confirmedAt = now;
      connectedPeers.controlHosts().forEach(control -> out.add(messageTo(control, confirmation)));
    }
  }

  /** Requests changes from a peer with a higher revision, unless a request is pending. */
  private void requestChanges(Instant now, List<OutgoingMessage> out) {
    if (!isDue(requestedAt, REQUEST_TIMEOUT, now)) {
      return;
    }
    Optional<HostId> source = findSource(connectedPeers.neighbours());
    boolean mayAskControl = hasNeighbourReported || hasRunFor(NEIGHBOUR_WAIT, now);
    if (source.isEmpty() && mayAskControl) {
      source = findSource(connectedPeers.controlHosts());
    }
    source.ifPresent(
        peer -> {
          requestedFrom = peer;
          requestedAt = now;
          out.add(messageTo(peer, new ChangesRequest(holder.revision())));
        });
  }

  /**
   * Returns the peer with the highest revision above the local one. The last peer asked is chosen
   * only if no other qualifies.
   */
  private Optional<HostId> findSource(List<HostId> peers) {
    return peers.stream()
        .filter(peer -> peerRevisions.getOrDefault(peer, Revision.ZERO).isAfter(holder.revision()))
        .min(
            Comparator.comparing((HostId peer) -> peer.equals(requestedFrom))
                .thenComparing(peerRevisions::get, Comparator.reverseOrder())
                .thenComparing(Comparator.naturalOrder()));
  }

  /**
   * Allows serving once the configuration is known to be current, or the waiting times of the start
   * have passed.
   */
  private void updateServing(Instant now) {
    if (serving || !holder.isReady()) {
      return;
    }
    boolean isCurrent = !highestReported.isAfter(holder.revision());
    boolean isConfirmed = currentAsOf.isAfter(Instant.MIN);
    serving =
        isConfirmed
            || (isCurrent && hasRunFor(START_WAIT, now))
            || hasRunFor(CATCH_UP_TIMEOUT, now);
  }

  private void recordStart(Instant now) {
    if (startedAt == null) {
      startedAt = now;
    }
  }

  private boolean hasRunFor(Duration time, Instant now) {
    return startedAt != null && !now.isBefore(startedAt.plus(time));
  }

  private static boolean isDue(Instant last, Duration period, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(period));
  }

  private static OutgoingMessage messageTo(HostId peer, DistributionMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Distribution(message));
  }
}
