package org.cuminwell.core.distribution;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.directory.Contacts;
import org.cuminwell.core.distribution.ConfigurationHolder.Outcome;
import org.cuminwell.core.distribution.DistributionMessage.Ask;
import org.cuminwell.core.distribution.DistributionMessage.Confirmed;
import org.cuminwell.core.distribution.DistributionMessage.Held;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.Outgoing;
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
  private final Contacts contacts;
  private final ConfigurationHolder holder;
  private final TreeMap<HostId, Revision> held = new TreeMap<>();
  private @Nullable Instant startedAt;
  private Instant toldNeighboursAt = Instant.MIN;
  private Instant toldControlAt = Instant.MIN;
  private Instant confirmedAt = Instant.MIN;
  private Instant askedAt = Instant.MIN;
  private @Nullable HostId asked;
  private Confirmed confirmed = new Confirmed(java.util.Map.of());
  private Revision greatestHeard = Revision.ZERO;
  private final TreeMap<Instant, Revision> answers = new TreeMap<>();
  private Instant currentAt = Instant.MIN;
  private Instant askedCurrentAt = Instant.MIN;
  private int askedCurrent;
  private boolean neighbourHeard;
  private boolean fedByControl;
  private boolean serving;

  /** Makes the state at the start of the gateway. */
  public Subscriber(HostId self, Contacts contacts, ConfigurationHolder holder) {
    this.self = self;
    this.contacts = contacts;
    this.holder = holder;
  }

  /** Returns whether the configuration may be served from. */
  public boolean isServing() {
    return serving;
  }

  /** Returns the moment before which every change committed anywhere is in force here. */
  public Instant currentAt() {
    return currentAt;
  }

  /** Returns what to say to a peer that has just been reached. */
  public List<Outgoing> connected(HostId peer) {
    return List.of(tell(peer, new Held(holder.revision())));
  }

  /** Takes in that a peer can't be reached. */
  public void lost(HostId peer) {
    held.remove(peer);
    if (peer.equals(asked)) {
      askedAt = Instant.MIN;
    }
  }

  /** Takes in a message, and returns what to say to whom. */
  public List<Outgoing> hear(HostId peer, DistributionMessage message, Instant now) {
    List<Outgoing> out = new ArrayList<>();
    begin(now);
    switch (message) {
      case DistributionMessage.Full m -> {
        if (holder.offer(m.configuration())) {
          passOn(peer, out);
        }
        hearHeld(peer, m.configuration().revision());
        answered(peer);
      }
      case DistributionMessage.Difference m -> {
        if (holder.offer(m) == Outcome.APPLIED) {
          passOn(peer, out);
        }
        hearHeld(peer, m.to());
        answered(peer);
      }
      case Held m -> hearHeld(peer, m.revision());
      case Ask m -> {
        hearHeld(peer, m.held());
        out.add(
            tell(
                peer,
                holder.revision().isAfter(m.held())
                    ? holder.after(m.held())
                    : new Held(holder.revision())));
      }
      case Confirmed m -> {}
      case DistributionMessage.AskCurrent m -> {}
      case DistributionMessage.Current m -> {
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
  public List<Outgoing> tick(Instant now) {
    List<Outgoing> out = new ArrayList<>();
    begin(now);
    if (isDue(toldNeighboursAt, TELL_NEIGHBOURS_PERIOD, now)) {
      toldNeighboursAt = now;
      contacts.neighbours().forEach(peer -> out.add(tell(peer, new Held(holder.revision()))));
    }
    if (isDue(toldControlAt, TELL_CONTROL_PERIOD, now)) {
      toldControlAt = now;
      contacts.controls().forEach(peer -> out.add(tell(peer, new Held(holder.revision()))));
    }
    confirm(now, out);
    askCurrent(now, out);
    catchUp(now, out);
    decideServing(now);
    return out;
  }

  /** Asks the control hosts in turn, going on to the next where one has not answered in time. */
  private void askCurrent(Instant now, List<Outgoing> out) {
    List<HostId> controls = contacts.controls();
    if (controls.isEmpty() || !isDue(askedCurrentAt, ASK_CURRENT_PERIOD, now)) {
      return;
    }
    boolean answered = !askedCurrentAt.isAfter(currentAt) || answers.containsKey(askedCurrentAt);
    if (!answered) {
      askedCurrent++;
    }
    askedCurrentAt = now.truncatedTo(ChronoUnit.MICROS);
    out.add(
        tell(
            controls.get(Math.floorMod(askedCurrent, controls.size())),
            new DistributionMessage.AskCurrent(askedCurrentAt)));
  }

  /** Moves {@link #currentAt} on to the latest question whose answer is in force here. */
  private void establish() {
    answers
        .entrySet()
        .removeIf(
            answer -> {
              boolean holds = !answer.getValue().isAfter(holder.revision());
              if (holds && answer.getKey().isAfter(currentAt)) {
                currentAt = answer.getKey();
              }
              return holds;
            });
    while (answers.size() > MAX_ANSWERS) {
      answers.pollFirstEntry();
    }
  }

  private void hearHeld(HostId peer, Revision revision) {
    held.put(peer, revision);
    neighbourHeard |= contacts.isNeighbour(peer);
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
  private void passOn(HostId from, List<Outgoing> out) {
    out.add(tell(from, new Held(holder.revision())));
    fedByControl = !contacts.isNeighbour(from);
    if (!fedByControl) {
      return;
    }
    for (HostId neighbour : contacts.neighbours()) {
      Revision theirs = held.getOrDefault(neighbour, Revision.ZERO);
      if (holder.revision().isAfter(theirs)) {
        out.add(tell(neighbour, holder.after(theirs)));
      }
    }
  }

  /** Tells the control hosts what this data centre holds, if this gateway feeds it. */
  private void confirm(Instant now, List<Outgoing> out) {
    if (!fedByControl || !isDue(confirmedAt, CONFIRM_PERIOD, now)) {
      return;
    }
    TreeMap<HostId, Revision> all = new TreeMap<>();
    for (HostId neighbour : contacts.neighbours()) {
      if (held.containsKey(neighbour)) {
        all.put(neighbour, held.get(neighbour));
      }
    }
    all.put(self, holder.revision());
    Confirmed news = new Confirmed(all);
    if (!news.equals(confirmed)) {
      confirmed = news;
      confirmedAt = now;
      contacts.controls().forEach(control -> out.add(tell(control, news)));
    }
  }

  private void catchUp(Instant now, List<Outgoing> out) {
    if (!isDue(askedAt, ASK_TIMEOUT, now)) {
      return;
    }
    Optional<HostId> source = sourceAmong(contacts.neighbours());
    boolean mayAskControl = neighbourHeard || hasRun(NEIGHBOURS_FIRST, now);
    if (source.isEmpty() && mayAskControl) {
      source = sourceAmong(contacts.controls());
    }
    source.ifPresent(
        peer -> {
          asked = peer;
          askedAt = now;
          out.add(tell(peer, new Ask(holder.revision())));
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
    boolean confirmed = currentAt.isAfter(Instant.MIN);
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

  private static Outgoing tell(HostId peer, DistributionMessage message) {
    return new Outgoing(peer, new PeerMessage.Distribution(message));
  }
}
