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
  static final Duration DEPARTED_MEMORY = Duration.ofMinutes(1);

  private final TreeMap<EndpointId, Entry> entries = new TreeMap<>();
  private final TreeMap<EndpointId, Departed> departed = new TreeMap<>();

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

  private record Departed(long incarnation, Instant at) {}

  /** Takes in an announcement; an endpoint that said it leaves stays leaving for that life. */
  public void recordAnnouncement(Announcement news, Instant now) {
    hear(news, now);
  }

  /**
   * Takes in an announcement that was heard at {@code receivedAt}, here or by a neighbour.
   *
   * <p>A time to live that has run out since has no effect.
   */
  void hear(Announcement news, Instant receivedAt) {
    Optional<Entry> old = Optional.ofNullable(entries.get(news.endpoint()));
    if (old.filter(e -> e.announcement().incarnation() > news.incarnation()).isPresent()
        || isOlderThanDeparture(news)) {
      return;
    }
    Optional<Entry> sameLife =
        old.filter(e -> e.announcement().incarnation() == news.incarnation());
    if (sameLife.filter(e -> e.announcement().sequence() > news.sequence()).isPresent()) {
      return;
    }
    if (sameLife
        .filter(e -> e.expiresAt().isAfter(receivedAt.plus(news.timeToLive())))
        .isPresent()) {
      return;
    }
    Optional<LoadReport> load = sameLife.flatMap(Entry::load);
    dropOthersAt(news);
    entries.put(news.endpoint(), new Entry(news, receivedAt, hasLeft(news), load));
  }

  /** Takes in that an endpoint leaves, whether its announcement has come yet or not. */
  public void leave(EndpointId endpoint, long incarnation, Instant now) {
    Departed before = departed.get(endpoint);
    if (before == null || before.incarnation() <= incarnation) {
      departed.put(endpoint, new Departed(incarnation, now));
    }
    entries.computeIfPresent(
        endpoint,
        (id, old) ->
            old.announcement().incarnation() == incarnation
                ? new Entry(old.announcement(), old.receivedAt(), true, old.load())
                : old);
  }

  /** Takes in a load report, unless a later one is known. */
  public void report(LoadReport report) {
    entries.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            isNews(old, report)
                ? new Entry(
                    old.announcement(), old.receivedAt(), old.leaving(), Optional.of(report))
                : old);
  }

  /** Drops endpoints whose announcements have run out, and returns the last known of them. */
  public List<Entry> removeExpired(Instant now) {
    departed.values().removeIf(left -> !now.isBefore(left.at().plus(DEPARTED_MEMORY)));
    List<Entry> gone = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean expired = !entry.isLive(now);
              if (expired) {
                gone.add(entry);
              }
              return expired;
            });
    return gone;
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
  private void dropOthersAt(Announcement news) {
    entries
        .values()
        .removeIf(
            entry ->
                entry.announcement().address().equals(news.address())
                    && !entry.announcement().endpoint().equals(news.endpoint())
                    && entry.announcement().incarnation() < news.incarnation());
  }

  private boolean hasLeft(Announcement news) {
    Departed left = departed.get(news.endpoint());
    return left != null && left.incarnation() == news.incarnation();
  }

  private boolean isOlderThanDeparture(Announcement news) {
    Departed left = departed.get(news.endpoint());
    return left != null && left.incarnation() > news.incarnation();
  }

  private static boolean isNews(Entry old, LoadReport report) {
    return old.announcement().incarnation() == report.incarnation()
        && old.load().map(load -> load.reportedSequence() < report.reportedSequence()).orElse(true);
  }
}
