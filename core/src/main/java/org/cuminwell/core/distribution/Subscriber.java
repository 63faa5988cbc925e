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
 * <p>News from a control host is passed to the neighbours. Whoever learns that another holds more
 * asks for it, neighbours before control hosts, one at a time; so lost messages are made good.
 * Invariants: the revision never goes down; a gateway that may serve keeps serving. Not thread
 * safe: one thread owns it.
 */
public final class Subscriber {

  /** How long a start waits for neighbours and control hosts to tell what they hold. */
  public static final Duration START_WAIT = Duration.ofSeconds(2);

  /** How long a start waits for a revision that was heard of but can't be had. */
  public static final Duration CATCH_UP_TIMEOUT = Duration.ofSeconds(10);

  /** How long a start leaves control hosts alone in case a neighbour has the configuration. */
  static final Duration NEIGHBOUR_WAIT = Duration.ofMillis(500);

  /** How many answers may wait for the revision that they tell of. */
  private static final int MAX_PENDING_RESPONSES = 64;

  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

  /** How often a control host is asked for the latest revision. */
  static final Duration LATEST_REVISION_PERIOD = Duration.ofMillis(500);

  static final Duration NEIGHBOUR_REPORT_PERIOD = Duration.ofSeconds(1);
  static final Duration CONTROL_REPORT_PERIOD = Duration.ofSeconds(5);
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
  private Revision highestReported = Revision.ZERO;
  private final TreeMap<Instant, Revision> pendingResponses = new TreeMap<>();
  private Instant currentAsOf = Instant.MIN;
  private Instant latestRevisionRequestedAt = Instant.MIN;
  private int controlHostIndex;
  private boolean hasNeighbourReported;
  private boolean receivesFromControl;
  private boolean serving;

  /** Makes the state at the start of the gateway. */
  public Subscriber(HostId self, ConnectedPeers connectedPeers, ConfigurationHolder holder) {
    this.self = self;
    this.connectedPeers = connectedPeers;
    this.holder = holder;
  }

  /** Returns whether the configuration may be served from. */
  public boolean isServing() {
    return serving;
  }

  /** Returns the moment before which every change committed anywhere is in force here. */
  public Instant currentAsOf() {
    return currentAsOf;
  }

  /** Returns what to say to a peer that has just been reached. */
  public List<OutgoingMessage> onConnected(HostId peer) {
    return List.of(messageTo(peer, new RevisionInForce(holder.revision())));
  }

  /** Takes in that a peer can't be reached. */
  public void onDisconnected(HostId peer) {
    peerRevisions.remove(peer);
    if (peer.equals(requestedFrom)) {
      requestedAt = Instant.MIN;
    }
  }

  /** Takes in a message, and returns what to say to whom. */
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

  /** Does what is due by now, and returns what to say to whom. */
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

  /** Asks the control hosts in turn, going on to the next where one has not answered in time. */
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

  /** Moves {@link #currentAsOf} on to the latest question whose answer is in force here. */
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

  private void recordRevision(HostId peer, Revision revision) {
    peerRevisions.put(peer, revision);
    hasNeighbourReported |= connectedPeers.isNeighbour(peer);
    if (revision.isAfter(highestReported)) {
      highestReported = revision;
    }
  }

  private void endRequest(HostId peer) {
    if (peer.equals(requestedFrom)) {
      requestedAt = Instant.MIN;
    }
  }

  /** Confirms what was applied, and feeds the neighbours where it came from a control host. */
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

  /** Tells the control hosts what this data centre holds, if this gateway feeds it. */
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

  /** Returns who holds the greatest revision above the own; who was asked in vain comes last. */
  private Optional<HostId> findSource(List<HostId> peers) {
    return peers.stream()
        .filter(peer -> peerRevisions.getOrDefault(peer, Revision.ZERO).isAfter(holder.revision()))
        .min(
            Comparator.comparing((HostId peer) -> peer.equals(requestedFrom))
                .thenComparing(peerRevisions::get, Comparator.reverseOrder())
                .thenComparing(Comparator.naturalOrder()));
  }

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
