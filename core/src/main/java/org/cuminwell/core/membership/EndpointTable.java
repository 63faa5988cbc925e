package org.cuminwell.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminwell.core.model.EndpointId;

/**
 * Holds the endpoints that have announced themselves and not left or fallen silent.
 *
 * <p>Invariants: news of an older incarnation never replaces news of a newer one; an incarnation
 * that has left never comes back; no endpoint lives longer than its time to live after it was last
 * heard, by whomever. Not thread safe: one thread owns it.
 */
public final class EndpointTable {

  /** How long it is remembered that an incarnation has left, against late news of it. */
  static final Duration DEPARTURE_RETENTION = Duration.ofMinutes(1);

  private final TreeMap<EndpointId, Entry> entries = new TreeMap<>();
  private final TreeMap<EndpointId, Departure> departures = new TreeMap<>();

  /**
   * Tells what is known of one endpoint. Immutable and thread safe.
   *
   * @param receivedAt when the last announcement came, to this gateway or to the neighbour that
   *     told
   * @param leaving whether the endpoint has said that it leaves; it then gets no new work
   */
  public record Entry(
      Announcement announcement, Instant receivedAt, boolean leaving, Optional<LoadReport> load) {

    /** Returns whether the endpoint bears only little load now. */
    public boolean isInSlowStart(Instant now) {
      return now.isBefore(receivedAt.plus(announcement.slowStartRemaining()));
    }

    boolean isLive(Instant now) {
      return now.isBefore(expiresAt());
    }

    Instant expiresAt() {
      return receivedAt.plus(announcement.timeToLive());
    }
  }

  private record Departure(long incarnation, Instant at) {}

  /** Takes in an announcement; an endpoint that said it leaves stays leaving for that life. */
  public void recordAnnouncement(Announcement announcement, Instant now) {
    recordReceivedAt(announcement, now);
  }

  /**
   * Takes in an announcement that was heard at {@code receivedAt}, here or by a neighbour.
   *
   * <p>A time to live that has run out since has no effect.
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
    removeOthersAt(announcement);
    entries.put(
        announcement.endpoint(),
        new Entry(announcement, receivedAt, isLeaving(announcement), load));
  }

  /** Takes in that an endpoint leaves, whether its announcement has come yet or not. */
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

  /** Takes in a load report, unless a later one is known. */
  public void recordLoad(LoadReport report) {
    entries.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            isNewer(old, report)
                ? new Entry(
                    old.announcement(), old.receivedAt(), old.leaving(), Optional.of(report))
                : old);
  }

  /** Drops endpoints whose announcements have run out, and returns the last known of them. */
  public List<Entry> removeExpired(Instant now) {
    departures
        .values()
        .removeIf(departure -> !now.isBefore(departure.at().plus(DEPARTURE_RETENTION)));
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

  /** Returns the names of all endpoints that are known. */
  public Set<EndpointId> ids() {
    return Set.copyOf(entries.keySet());
  }

  /** Returns the endpoints that may get new work for the service. */
  public List<Entry> findServing(String service, Instant now) {
    return entries.values().stream()
        .filter(entry -> !entry.leaving() && entry.isLive(now))
        .filter(entry -> entry.announcement().services().contains(service))
        .toList();
  }

  /** Returns what is known of one endpoint. */
  public Optional<Entry> find(EndpointId endpoint) {
    return Optional.ofNullable(entries.get(endpoint));
  }

  /** Returns everything known, live or leaving. */
  public Collection<Entry> all() {
    return List.copyOf(entries.values());
  }

  /** Drops endpoints of earlier starts whose address the announcing one has now. */
  private void removeOthersAt(Announcement announcement) {
    entries
        .values()
        .removeIf(
            entry ->
                entry.announcement().address().equals(announcement.address())
                    && !entry.announcement().endpoint().equals(announcement.endpoint())
                    && entry.announcement().incarnation() < announcement.incarnation());
  }

  private boolean isLeaving(Announcement announcement) {
    Departure departure = departures.get(announcement.endpoint());
    return departure != null && departure.incarnation() == announcement.incarnation();
  }

  private boolean isOlderThanDeparture(Announcement announcement) {
    Departure departure = departures.get(announcement.endpoint());
    return departure != null && departure.incarnation() > announcement.incarnation();
  }

  private static boolean isNewer(Entry old, LoadReport report) {
    return old.announcement().incarnation() == report.incarnation()
        && old.load().map(load -> load.reportedSequence() < report.reportedSequence()).orElse(true);
  }
}
