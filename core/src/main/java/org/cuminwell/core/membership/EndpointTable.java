package org.cuminwell.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.EndpointId;

/**
 * Holds the endpoints that have announced themselves and not left or fallen silent.
 *
 * <p>Invariant: news of an older incarnation never replaces news of a newer one. Not thread safe:
 * one thread owns it.
 */
public final class EndpointTable {

  private final TreeMap<EndpointId, Entry> entries = new TreeMap<>();

  /**
   * Tells what is known of one endpoint. Immutable and thread safe.
   *
   * @param heardAt when the last announcement came
   * @param leaving whether the endpoint has said that it leaves; it then gets no new work
   */
  public record Entry(
      Announcement announcement, Instant heardAt, boolean leaving, Optional<LoadReport> load) {

    boolean isLive(Instant now) {
      return now.isBefore(heardAt.plus(announcement.timeToLive()));
    }
  }

  /** Takes in an announcement; an endpoint that said it leaves stays leaving for that life. */
  public void announce(Announcement news, Instant now) {
    Optional<Entry> old = Optional.ofNullable(entries.get(news.endpoint()));
    if (old.filter(e -> e.announcement().incarnation() > news.incarnation()).isPresent()) {
      return;
    }
    Optional<Entry> sameLife =
        old.filter(e -> e.announcement().incarnation() == news.incarnation());
    boolean leaving = sameLife.map(Entry::leaving).orElse(false);
    Optional<LoadReport> load = sameLife.flatMap(Entry::load);
    entries.put(news.endpoint(), new Entry(news, now, leaving, load));
  }

  /** Takes in that an endpoint leaves. */
  public void leave(EndpointId endpoint, long incarnation) {
    entries.computeIfPresent(
        endpoint,
        (id, old) ->
            old.announcement().incarnation() == incarnation
                ? new Entry(old.announcement(), old.heardAt(), true, old.load())
                : old);
  }

  /** Takes in a load report, unless a later one is known. */
  public void report(LoadReport report) {
    entries.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            isNews(old, report)
                ? new Entry(old.announcement(), old.heardAt(), old.leaving(), Optional.of(report))
                : old);
  }

  /** Drops endpoints whose announcements have run out, and returns them. */
  public List<EndpointId> expire(Instant now) {
    List<EndpointId> gone = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean expired = !entry.isLive(now);
              if (expired) {
                gone.add(entry.announcement().endpoint());
              }
              return expired;
            });
    return gone;
  }

  /** Returns the endpoints that may get new work for the service. */
  public List<Entry> serving(String service, Instant now) {
    return entries.values().stream()
        .filter(entry -> !entry.leaving() && entry.isLive(now))
        .filter(entry -> entry.announcement().services().contains(service))
        .toList();
  }

  /** Returns everything known, live or leaving. */
  public Collection<Entry> all() {
    return List.copyOf(entries.values());
  }

  private static boolean isNews(Entry old, LoadReport report) {
    return old.announcement().incarnation() == report.incarnation()
        && old.load().map(load -> load.reportedSequence() < report.reportedSequence()).orElse(true);
  }
}
