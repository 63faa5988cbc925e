package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Place;

/**
 * Chooses the endpoint where a request will wait least.
 *
 * <p>The cheaper of two endpoints drawn at random is taken, so that gateways with the same late
 * reports don't all choose the same one. A warm cache goes first while its endpoint is not clearly
 * busier than the rest. Another region is chosen only where the wait here exceeds the wait there by
 * more than a margin. Invariant: an endpoint is always found if there is a candidate. Not thread
 * safe: one thread owns it.
 */
public final class Router {

  /** How much sooner another region must begin than this one, the round trips included. */
  static final Duration AWAY_MARGIN = Duration.ofMillis(250);

  /** From how many recent failures on an endpoint is left out. */
  static final double EJECT_FAILURES = 2.5;

  /** The largest share of the candidates that failures can leave out. */
  static final double MAX_EJECTED_SHARE = 0.5;

  /** How many slots' share of work above the mean a warm cache is worth. */
  static final double AFFINITY_SLACK = 0.25;

  private static final double OTHER_DATA_CENTRE_MILLIS = 3;
  private static final double DEFAULT_SERVICE_MILLIS = 1_000;
  private static final double FULL_BATCH_SLOWDOWN = 0.25;
  private static final double FAILURE_MILLIS = 200;
  private static final int MAX_REMEMBERED = 8_192;

  private final Place here;
  private final SplittableRandom random;
  private final Map<EndpointId, EndpointLoad> loads = new HashMap<>();
  private final PrefixMemory prefixes = new PrefixMemory();

  /** Makes the router of a gateway at {@code here}; the random source makes its draws. */
  public Router(Place here, SplittableRandom random) {
    this.here = here;
    this.random = random;
  }

  /** Returns the endpoint to send to, or empty if there is no candidate. */
  public Optional<Entry> choose(List<Entry> candidates, RouteQuery query, Instant now) {
    List<Entry> usable = usable(candidates, query.attempted(), now);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    List<Entry> shortlist = inBestRegion(usable, now);
    return warm(shortlist, query, now).or(() -> Optional.of(lesserOfTwo(shortlist, now)));
  }

  /** Returns the candidates without those that were tried or fail, as far as others are left. */
  List<Entry> usable(List<Entry> candidates, Set<EndpointId> tried, Instant now) {
    candidates.forEach(entry -> load(entry).observe(entry, now));
    List<Entry> untried =
        candidates.stream()
            .filter(entry -> !tried.contains(entry.announcement().endpoint()))
            .toList();
    return healthy(untried.isEmpty() ? candidates : untried, now);
  }

  /** Returns how many requests the endpoint holds, as far as can be told. */
  int requests(Entry entry, Instant now) {
    return load(entry).requests(now);
  }

  /** Returns how many requests of this gateway the endpoint holds. */
  int outstanding(Entry entry) {
    return load(entry).outstanding();
  }

  /** Returns the recent failures of the endpoint. */
  double failures(Entry entry, Instant now) {
    return load(entry).failures(now);
  }

  /** Counts a request that was sent to the endpoint. */
  public void recordSent(EndpointId endpoint, RouteQuery query, Instant now) {
    load(endpoint).sent(now);
    query.prefix().ifPresent(prefix -> prefixes.remember(prefix, endpoint));
  }

  /**
   * Counts a request that has ended at the endpoint.
   *
   * @param took the time since it was sent
   * @param failed whether the endpoint is to blame for an answer that did not come whole
   */
  public void recordEnded(EndpointId endpoint, Duration took, boolean failed, Instant now) {
    load(endpoint).ended(took, failed, now);
  }

  /** Bounds the memory of endpoints that have gone; to be called now and then. */
  public void evictIdle(Instant now) {
    if (loads.size() > MAX_REMEMBERED) {
      loads.values().removeIf(load -> load.isIdle(now));
    }
  }

  /** Returns how long a request is expected to wait for a slot at the endpoint. */
  public Duration expectedWait(Entry entry, Instant now) {
    return Duration.ofNanos((long) (waitMillis(entry, now) * 1e6));
  }

  /** Leaves out endpoints that fail, the worst first, and never more than a share of them. */
  private List<Entry> healthy(List<Entry> entries, Instant now) {
    int most = (int) (entries.size() * MAX_EJECTED_SHARE);
    List<Entry> ejected =
        entries.stream()
            .filter(entry -> load(entry).failures(now) >= EJECT_FAILURES)
            .sorted(
                Comparator.comparingDouble((Entry entry) -> load(entry).failures(now)).reversed())
            .limit(most)
            .toList();
    return ejected.isEmpty()
        ? entries
        : entries.stream().filter(Predicate.not(ejected::contains)).toList();
  }

  /** Keeps to this region unless another one would begin sooner by more than the margin. */
  private List<Entry> inBestRegion(List<Entry> entries, Instant now) {
    List<Entry> near = entries.stream().filter(this::isNear).toList();
    if (near.isEmpty() || near.size() == entries.size()) {
      return entries;
    }
    List<Entry> far = entries.stream().filter(Predicate.not(this::isNear)).toList();
    double gain = leastWait(near, now) - leastWait(far, now);
    return gain > AWAY_MARGIN.toMillis() ? far : near;
  }

  private Optional<Entry> warm(List<Entry> shortlist, RouteQuery query, Instant now) {
    if (query.prefix().isEmpty()) {
      return Optional.empty();
    }
    double mean =
        shortlist.stream().mapToDouble(entry -> utilisation(entry, now)).average().orElse(0);
    return prefixes
        .find(query.prefix().getAsLong())
        .flatMap(
            id ->
                shortlist.stream()
                    .filter(entry -> entry.announcement().endpoint().equals(id))
                    .findFirst())
        .filter(entry -> load(entry).failures(now) < 1)
        .filter(entry -> utilisation(entry, now) < Math.min(1, mean + AFFINITY_SLACK));
  }

  private Entry lesserOfTwo(List<Entry> shortlist, Instant now) {
    if (shortlist.size() == 1) {
      return shortlist.getFirst();
    }
    List<Entry> drawn = new ArrayList<>(2);
    int first = random.nextInt(shortlist.size());
    int second = random.nextInt(shortlist.size() - 1);
    drawn.add(shortlist.get(first));
    drawn.add(shortlist.get(second < first ? second : second + 1));
    return cost(drawn.get(0), now) <= cost(drawn.get(1), now) ? drawn.get(0) : drawn.get(1);
  }

  private double leastWait(List<Entry> entries, Instant now) {
    return entries.stream().mapToDouble(entry -> waitMillis(entry, now)).min().orElse(0);
  }

  private double cost(Entry entry, Instant now) {
    return waitMillis(entry, now)
        + FULL_BATCH_SLOWDOWN * serviceMillis(entry) * Math.min(1, utilisation(entry, now))
        + distanceMillis(entry)
        + FAILURE_MILLIS * load(entry).failures(now);
  }

  private double waitMillis(Entry entry, Instant now) {
    int capacity = entry.announcement().capacity();
    int ahead = load(entry).requests(now) + 1 - capacity;
    return ahead <= 0 ? 0 : serviceMillis(entry) * ahead / capacity;
  }

  private double utilisation(Entry entry, Instant now) {
    return (double) load(entry).requests(now) / entry.announcement().capacity();
  }

  private double serviceMillis(Entry entry) {
    double known = load(entry).serviceMillis();
    return known > 0 ? known : DEFAULT_SERVICE_MILLIS;
  }

  private double distanceMillis(Entry entry) {
    return entry.announcement().place().equals(here) ? 0 : OTHER_DATA_CENTRE_MILLIS;
  }

  private boolean isNear(Entry entry) {
    return entry.announcement().place().region().equals(here.region());
  }

  private EndpointLoad load(Entry entry) {
    return load(entry.announcement().endpoint());
  }

  private EndpointLoad load(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, id -> new EndpointLoad());
  }
}
