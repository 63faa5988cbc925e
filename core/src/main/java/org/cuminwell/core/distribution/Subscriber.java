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
  public static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(10);

  /** How long a start leaves control hosts alone in case a neighbour has the configuration. */
  static final Duration NEIGHBOURS_FIRST = Duration.ofMillis(500);

  /** How many answers may wait for the revision that they tell of. */
  private static final int MAX_ANSWERS = 64;

  static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);

  /** How often a control host is asked for the latest revision. */
  static final Duration ASK_CURRENT_PERIOD = Duration.ofMillis(500);

  static final Duration TELL_NEIGHBOURS_PERIOD = Duration.ofSeconds(1);
  static final Duration TELL_CONTROL_PERIOD = Duration.ofSeconds(5);
  static final Duration CONFIRM_PERIOD = Duration.ofMillis(200);

  private final HostId self;
  private final ConnectedPeers connectedPeers;
  private final ConfigurationHolder holder;
  private final TreeMap<HostId, Revision> held = new TreeMap<>();
  private @Nullable Instant startedAt;
  private Instant toldNeighboursAt = Instant.MIN;
  private Instant toldControlAt = Instant.MIN;
  private Instant confirmedAt = Instant.MIN;
  private Instant askedAt = Instant.MIN;
  private @Nullable HostId asked;
  private ConfirmedRevisions confirmedRevisions = new ConfirmedRevisions(java.util.Map.of());
  private Revision greatestHeard = Revision.ZERO;
  private final TreeMap<Instant, Revision> answers = new TreeMap<>();
  private Instant currentAsOf = Instant.MIN;
  private Instant askedCurrentAt = Instant.MIN;
  private int askedCurrent;
  private boolean neighbourHeard;
  private boolean fedByControl;
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
    return List.of(tell(peer, new RevisionInForce(holder.revision())));
  }

  /** Takes in that a peer can't be reached. */
  public void onDisconnected(HostId peer) {
    held.remove(peer);
    if (peer.equals(asked)) {
      askedAt = Instant.MIN;
    }
  }

  /** Takes in a message, and returns what to say to whom. */
  public List<OutgoingMessage> onMessage(HostId peer, DistributionMessage message, Instant now) {
    List<OutgoingMessage> out = new ArrayList<>();
    begin(now);
    switch (message) {
      case DistributionMessage.Full m -> {
        if (holder.applyIfNewer(m.configuration())) {
          passOn(peer, out);
        }
        hearHeld(peer, m.configuration().revision());
        answered(peer);
      }
      case DistributionMessage.Difference m -> {
        if (holder.apply(m) == Outcome.APPLIED) {
          passOn(peer, out);
        }
        hearHeld(peer, m.to());
        answered(peer);
      }
      case RevisionInForce m -> hearHeld(peer, m.revision());
      case ChangesRequest m -> {
        hearHeld(peer, m.revisionInForce());
        out.add(
            tell(
                peer,
                holder.revision().isAfter(m.revisionInForce())
                    ? holder.after(m.revisionInForce())
                    : new RevisionInForce(holder.revision())));
      }
      case ConfirmedRevisions m -> {}
      case DistributionMessage.LatestRevisionRequest m -> {}
      case DistributionMessage.LatestRevision m -> {
        hearHeld(peer, m.revision());
        answers.put(m.askedAt(), m.revision());
      }
    }
    establish();
    catchUp(now, out);
    decideServing(now);
    return out;
  }

  /** Does what is due by now, and returns what to say to whom. */
  public List<OutgoingMessage> tick(Instant now) {
    List<OutgoingMessage> out = new ArrayList<>();
    begin(now);
    if (isDue(toldNeighboursAt, TELL_NEIGHBOURS_PERIOD, now)) {
      toldNeighboursAt = now;
      connectedPeers
          .neighbours()
          .forEach(peer -> out.add(tell(peer, new RevisionInForce(holder.revision()))));
    }
    if (isDue(toldControlAt, TELL_CONTROL_PERIOD, now)) {
      toldControlAt = now;
      connectedPeers
          .controlHosts()
          .forEach(peer -> out.add(tell(peer, new RevisionInForce(holder.revision()))));
    }
    confirm(now, out);
    askCurrent(now, out);
    catchUp(now, out);
    decideServing(now);
    return out;
  }

  /** Asks the control hosts in turn, going on to the next where one has not answered in time. */
  private void askCurrent(Instant now, List<OutgoingMessage> out) {
    List<HostId> controlHosts = connectedPeers.controlHosts();
    if (controlHosts.isEmpty() || !isDue(askedCurrentAt, ASK_CURRENT_PERIOD, now)) {
      return;
    }
    boolean answered = !askedCurrentAt.isAfter(currentAsOf) || answers.containsKey(askedCurrentAt);
    if (!answered) {
      askedCurrent++;
    }
    askedCurrentAt = now.truncatedTo(ChronoUnit.MICROS);
    out.add(
        tell(
            controlHosts.get(Math.floorMod(askedCurrent, controlHosts.size())),
            new DistributionMessage.LatestRevisionRequest(askedCurrentAt)));
  }

  /** Moves {@link #currentAsOf} on to the latest question whose answer is in force here. */
  private void establish() {
    answers
        .entrySet()
        .removeIf(
            answer -> {
              boolean holds = !answer.getValue().isAfter(holder.revision());
              if (holds && answer.getKey().isAfter(currentAsOf)) {
                currentAsOf = answer.getKey();
              }
              return holds;
            });
    while (answers.size() > MAX_ANSWERS) {
      answers.pollFirstEntry();
    }
  }

  private void hearHeld(HostId peer, Revision revision) {
    held.put(peer, revision);
    neighbourHeard |= connectedPeers.isNeighbour(peer);
    if (revision.isAfter(greatestHeard)) {
      greatestHeard = revision;
    }
  }

  private void answered(HostId peer) {
    if (peer.equals(asked)) {
      askedAt = Instant.MIN;
    }
  }

  /** Confirms what was applied, and feeds the neighbours where it came from a control host. */
  private void passOn(HostId from, List<OutgoingMessage> out) {
    out.add(tell(from, new RevisionInForce(holder.revision())));
    fedByControl = !connectedPeers.isNeighbour(from);
    if (!fedByControl) {
      return;
    }
    for (HostId neighbour : connectedPeers.neighbours()) {
      Revision theirs = held.getOrDefault(neighbour, Revision.ZERO);
      if (holder.revision().isAfter(theirs)) {
        out.add(tell(neighbour, holder.after(theirs)));
      }
    }
  }

  /** Tells the control hosts what this data centre holds, if this gateway feeds it. */
  private void confirm(Instant now, List<OutgoingMessage> out) {
    if (!fedByControl || !isDue(confirmedAt, CONFIRM_PERIOD, now)) {
      return;
    }
    TreeMap<HostId, Revision> all = new TreeMap<>();
    for (HostId neighbour : connectedPeers.neighbours()) {
      if (held.containsKey(neighbour)) {
        all.put(neighbour, held.get(neighbour));
      }
    }
    all.put(self, holder.revision());
    ConfirmedRevisions news = new ConfirmedRevisions(all);
    if (!news.equals(confirmedRevisions)) {
      confirmedRevisions = news;
      confirmedAt = now;
      connectedPeers.controlHosts().forEach(control -> out.add(tell(control, news)));
    }
  }

  private void catchUp(Instant now, List<OutgoingMessage> out) {
    if (!isDue(askedAt, ASK_TIMEOUT, now)) {
      return;
    }
    Optional<HostId> source = sourceAmong(connectedPeers.neighbours());
    boolean mayAskControl = neighbourHeard || hasRun(NEIGHBOURS_FIRST, now);
    if (source.isEmpty() && mayAskControl) {
      source = sourceAmong(connectedPeers.controlHosts());
    }
    source.ifPresent(
        peer -> {
          asked = peer;
          askedAt = now;
          out.add(tell(peer, new ChangesRequest(holder.revision())));
        });
  }

  /** Returns who holds the greatest revision above the own; who was asked in vain comes last. */
  private Optional<HostId> sourceAmong(List<HostId> peers) {
    return peers.stream()
        .filter(peer -> held.getOrDefault(peer, Revision.ZERO).isAfter(holder.revision()))
        .min(
            Comparator.comparing((HostId peer) -> peer.equals(asked))
                .thenComparing(held::get, Comparator.reverseOrder())
                .thenComparing(Comparator.naturalOrder()));
  }

  private void decideServing(Instant now) {
    if (serving || !holder.isReady()) {
      return;
    }
    boolean isCurrent = !greatestHeard.isAfter(holder.revision());
    boolean confirmed = currentAsOf.isAfter(Instant.MIN);
    serving = confirmed || (isCurrent && hasRun(START_WAIT, now)) || hasRun(CATCH_UP_LIMIT, now);
  }

  private void begin(Instant now) {
    if (startedAt == null) {
      startedAt = now;
    }
  }

  private boolean hasRun(Duration time, Instant now) {
    return startedAt != null && !now.isBefore(startedAt.plus(time));
  }

  private static boolean isDue(Instant last, Duration period, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(period));
  }

  private static OutgoingMessage tell(HostId peer, DistributionMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Distribution(message));
  }
}
