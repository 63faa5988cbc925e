package org.cuminwell.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.model.EndpointId;

/**
 * Holds the endpoints that have announced themselves and whose announcements have not expired.
 *
 * <p>Invariants: an announcement of an older incarnation never replaces one of a newer incarnation;
 * an incarnation that said that it leaves gets no new work as long as that is remembered ({@link
 * #DEPARTURE_RETENTION}); no endpoint stays longer than its time to live after any gateway last
 * received its announcement. Not thread safe: one thread owns it.
 */
public final class EndpointTable {

  /**
   * How long a departure is remembered, so that late announcements do not bring the incarnation
   * back.
   */
  static final Duration DEPARTURE_RETENTION = Duration.ofMinutes(1);

  private final TreeMap<EndpointId, Entry> entries = new TreeMap<>();
  private final PausedEndpoints paused = new PausedEndpoints();
  private final TreeMap<EndpointId, Departure> departures = new TreeMap<>();

  /** Endpoints whose addresses others have taken over, with the last incarnation known. */
  private final TreeMap<EndpointId, Departure> replaced = new TreeMap<>();

  /**
   * Describes one endpoint. Immutable and thread safe.
   *
   * @param receivedAt when this gateway, or the peer that relayed it, received the last
   *     announcement
   * @param leaving whether the endpoint has said that it leaves; it then gets no new work
   */
  public record Entry(
      Announcement announcement, Instant receivedAt, boolean leaving, Optional<LoadReport> load) {

    /** Returns whether the endpoint is still in slow start and can handle only little load. */
    public boolean isInSlowStart(Instant now) {
      return now.isBefore(receivedAt.plus(announcement.slowStartRemaining()));
    }

    /** Returns whether the announcement has not expired. */
    boolean isLive(Instant now) {
      return now.isBefore(expiresAt());
    }

    Instant expiresAt() {
      return receivedAt.plus(announcement.timeToLive());
    }
  }

  /** Records that an incarnation is gone, or has said that it leaves. */
  private record Departure(long incarnation, Instant at) {}

  /**
   * Records an announcement that this process received at {@code now}. An incarnation that said
   * that it leaves keeps that state.
   */
  public void recordAnnouncement(Announcement announcement, Instant now) {
    recordReceivedAt(announcement, now);
  }

  /**
   * Records an announcement that this process or a peer received at {@code receivedAt}.
   *
   * <p>Has no effect if a newer announcement or one that expires later is known.
   */
  void recordReceivedAt(Announcement announcement, Instant receivedAt) {
    Optional<Entry> known = Optional.ofNullable(entries.get(announcement.endpoint()));
    if (known.filter(e -> e.announcement().incarnation() > announcement.incarnation()).isPresent()
        || isOlderThanDeparture(announcement)) {
      return;
    }
    Optional<Entry> sameIncarnation =
        known.filter(e -> e.announcement().incarnation() == announcement.incarnation());
    if (sameIncarnation
        .filter(e -> e.announcement().sequence() > announcement.sequence())
        .isPresent()) {
      return;
    }
    if (sameIncarnation
        .filter(e -> e.expiresAt().isAfter(receivedAt.plus(announcement.timeToLive())))
        .isPresent()) {
      return;
    }
    Optional<LoadReport> load = sameIncarnation.flatMap(Entry::load);
    removeOthersAt(announcement, receivedAt);
    entries.put(
        announcement.endpoint(),
        new Entry(announcement, receivedAt, isLeaving(announcement.endpointIncarnation()), load));
  }

  /** Records that an incarnation leaves, whether its announcement has arrived yet or not. */
  public void markLeaving(EndpointId endpoint, long incarnation, Instant now) {
    Departure known = departures.get(endpoint);
    if (known == null || known.incarnation() <= incarnation) {
      departures.put(endpoint, new Departure(incarnation, now));
    }
    entries.computeIfPresent(
        endpoint,
        (id, old) ->
            old.announcement().incarnation() == incarnation
                ? new Entry(old.announcement(), old.receivedAt(), true, old.load())
                : old);
  }

  /**
   * Records that an incarnation has refused a request and must not be sent others for the given
   * time, of at most {@link PausedEndpoints#MAX_PAUSE}.
   */
  public void pause(EndpointIncarnation endpoint, Duration remaining, Instant now) {
    paused.record(endpoint, remaining, now);
  }

  /** Records a pause that the peers of this process have been told of by another one. */
  void recordToldPause(EndpointIncarnation endpoint, Duration remaining, Instant now) {
    paused.record(endpoint, remaining, now);
    paused.markTold(endpoint, remaining, now);
  }

  /** Returns the pauses that other processes must be told of. */
  List<MembershipMessage.Item> takeUntoldPauses(Instant now) {
    return paused.takeUntold(now);
  }

  /** Returns whether the incarnation is remembered as one that leaves. */
  public boolean isLeaving(EndpointIncarnation endpoint) {
    Departure departure = departures.get(endpoint.endpoint());
    return departure != null && departure.incarnation() == endpoint.incarnation();
  }

  /** Records a load report, unless a later one is known. */
  public void recordLoad(LoadReport report) {
    entries.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            isNewer(old, report)
                ? new Entry(
                    old.announcement(), old.receivedAt(), old.leaving(), Optional.of(report))
                : old);
  }

  /** Removes the endpoints whose announcements have expired, and returns them. */
  public List<Entry> removeExpired(Instant now) {
    removeOld(departures, now);
    removeOld(replaced, now);
    List<Entry> expiredEntries = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean expired = !entry.isLive(now);
              if (expired) {
                expiredEntries.add(entry);
              }
              return expired;
            });
    return expiredEntries;
  }

  /** Returns the number of known endpoints. */
  public int size() {
    return entries.size();
  }

  /** Returns the ids of all known endpoints. */
  public Set<EndpointId> ids() {
    return Set.copyOf(entries.keySet());
  }

  /** Returns the endpoints that may get new work for the service. */
  public List<Entry> findServing(String service, Instant now) {
    return entries.values().stream()
        .filter(entry -> !entry.leaving() && entry.isLive(now))
        .filter(entry -> !paused.isPaused(entry.announcement().endpointIncarnation(), now))
        .filter(entry -> entry.announcement().services().contains(service))
        .toList();
  }

  /** Returns the entry of an endpoint, if it is known. */
  public Optional<Entry> find(EndpointId endpoint) {
    return Optional.ofNullable(entries.get(endpoint));
  }

  /**
   * Returns whether the incarnation is known to have ended: a later one has announced itself, or a
   * later endpoint has taken over its address, as one that starts again under another id does.
   */
  public boolean hasRestarted(EndpointIncarnation earlier) {
    Departure replacement = replaced.get(earlier.endpoint());
    return (replacement != null && replacement.incarnation() >= earlier.incarnation())
        || find(earlier.endpoint())
            .filter(entry -> entry.announcement().incarnation() > earlier.incarnation())
            .isPresent();
  }

  /** Returns all entries, including endpoints that leave. */
  public Collection<Entry> all() {
    return List.copyOf(entries.values());
  }

  /**
   * Removes endpoints that had the address before, that is, other ids with an earlier incarnation.
   */
  private void removeOthersAt(Announcement announcement, Instant receivedAt) {
    List<Announcement> others =
        entries.values().stream()
            .map(Entry::announcement)
            .filter(other -> other.address().equals(announcement.address()))
            .filter(other -> !other.endpoint().equals(announcement.endpoint()))
            .filter(other -> other.incarnation() < announcement.incarnation())
            .toList();
    for (Announcement other : others) {
      entries.remove(other.endpoint());
      replaced.put(other.endpoint(), new Departure(other.incarnation(), receivedAt));
    }
  }

  private static void removeOld(Map<EndpointId, Departure> departures, Instant now) {
    departures
        .values()
        .removeIf(departure -> !now.isBefore(departure.at().plus(DEPARTURE_RETENTION)));
  }

  /** Returns whether a later incarnation has said that it leaves. */
  private boolean isOlderThanDeparture(Announcement announcement) {
    Departure departure = departures.get(announcement.endpoint());
    return departure != null && departure.incarnation() > announcement.incarnation();
  }

  /** Returns whether the report is of the known incarnation and later than the known report. */
  private static boolean isNewer(Entry old, LoadReport report) {
    return old.announcement().incarnation() == report.incarnation()
        && old.load().map(load -> load.reportedSequence() < report.reportedSequence()).orElse(true);
  }
}
