package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
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
 * Selects the endpoint where a request is expected to wait least.
 *
 * <p>Of two endpoints drawn at random the cheaper one is selected, so that gateways with the same
 * outdated load reports do not all select the same endpoint. The endpoint with a warm prefix cache
 * has priority unless it is clearly busier than the rest. Another region is selected only if the
 * wait in the local region exceeds the wait there by more than a margin. Invariant: an endpoint is
 * always found if there is a candidate. Not thread safe: one thread owns it.
 */
public final class Router {

  /** How much shorter the wait in another region must be, to make up for the round trips. */
  static final Duration REMOTE_REGION_MARGIN = Duration.ofMillis(250);

  /** The number of recent failures from which on an endpoint is ejected. */
  static final double MIN_FAILURES_TO_EJECT = 2.5;

  /** The largest fraction of the candidates that may be ejected. */
  static final double MAX_EJECTED_FRACTION = 0.5;

  /**
   * How much the utilisation of the endpoint with a warm cache may exceed the mean, as a fraction
   * of its slots.
   */
  static final double AFFINITY_SLACK = 0.25;

  private static final double OTHER_DATA_CENTRE_COST_MILLIS = 3;
  private static final double DEFAULT_SERVICE_MILLIS = 1_000;

  /** The fraction of its service time by which a request is slower at full utilisation. */
  private static final double FULL_BATCH_SLOWDOWN = 0.25;

  /** The cost of one recent failure. */
  private static final double FAILURE_COST_MILLIS = 200;

  private static final int MAX_TRACKED_ENDPOINTS = 8_192;

  private final Place localPlace;
  private final SplittableRandom random;
  private final Map<EndpointId, EndpointLoad> loads = new HashMap<>();
  private final PrefixAffinity prefixAffinity = new PrefixAffinity();
  private final LoadSharing loadSharing = new LoadSharing();

  /** Creates the router of a gateway at {@code localPlace}; {@code random} makes the draws. */
  public Router(Place localPlace, SplittableRandom random) {
    this.localPlace = localPlace;
    this.random = random;
  }

  /** Returns the exchange of loads with the other gateways of the region. */
  public LoadSharing loadSharing() {
    return loadSharing;
  }

  /** Returns the endpoint to send to, or empty if there is no candidate. */
  public Optional<Entry> choose(List<Entry> candidates, RouteQuery query, Instant now) {
    List<Entry> usable = usable(candidates, query.attempted(), now);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    List<Entry> shortlist = preferLocalRegion(usable, now);
    return findWarmCache(shortlist, query, now).or(() -> Optional.of(cheaperOfTwo(shortlist, now)));
  }

  /** Returns the candidates without attempted and failing ones, as far as others remain. */
  List<Entry> usable(List<Entry> candidates, Set<EndpointId> attempted, Instant now) {
    candidates.forEach(entry -> load(entry).observe(entry, now));
    List<Entry> notAttempted =
        candidates.stream()
            .filter(entry -> !attempted.contains(entry.announcement().endpoint()))
            .toList();
    return ejectFailing(notAttempted.isEmpty() ? candidates : notAttempted, now);
  }

  /** Returns {@code size} of the entries, drawn at random, or all if there are no more. */
  List<Entry> sample(List<Entry> entries, int size) {
    List<Entry> drawn = new ArrayList<>(entries);
    for (int i = 0; i < Math.min(size, drawn.size()); i++) {
      Collections.swap(drawn, i, i + random.nextInt(drawn.size() - i));
    }
    return new ArrayList<>(drawn.subList(0, Math.min(size, drawn.size())));
  }

  /** Returns the estimated number of requests at the endpoint, those of other gateways included. */
  int estimatedRequests(Entry entry, Instant now) {
    return load(entry).estimatedRequests(now);
  }

  /** Returns how many of this gateway's requests are outstanding at the endpoint. */
  int outstanding(Entry entry) {
    return load(entry).outstanding();
  }

  /** Returns the recent failures of the endpoint. */
  double recentFailures(Entry entry, Instant now) {
    return load(entry).recentFailures(now);
  }

  /** Records a request that was sent to the endpoint. */
  public void recordSent(EndpointId endpoint, RouteQuery query, Instant now) {
    load(endpoint).recordSent(now);
    loadSharing.setRunning(endpoint, load(endpoint).outstanding());
    query.prefix().ifPresent(prefix -> prefixAffinity.record(prefix, endpoint));
  }

  /**
   * Records a request that has ended at the endpoint.
   *
   * @param took the time since it was sent
   * @param failed whether the endpoint is to blame for an incomplete response
   */
  public void recordEnded(EndpointId endpoint, Duration took, boolean failed, Instant now) {
    load(endpoint).recordEnded(took, failed, now);
    loadSharing.setRunning(endpoint, load(endpoint).outstanding());
  }

  /** Evicts the state of idle endpoints if there is too much; must be called periodically. */
  public void evictIdle(Instant now) {
    if (loads.size() > MAX_TRACKED_ENDPOINTS) {
      loads.values().removeIf(load -> load.isIdle(now));
    }
  }

  /** Returns how long a request is expected to wait for a slot at the endpoint. */
  public Duration expectedWait(Entry entry, Instant now) {
    return Duration.ofNanos((long) (waitMillis(entry, now) * 1e6));
  }

  /**
   * Ejects failing endpoints, those with the most failures first, up to a fraction of the entries.
   */
  private List<Entry> ejectFailing(List<Entry> entries, Instant now) {
    int maxEjected = (int) (entries.size() * MAX_EJECTED_FRACTION);
    List<Entry> ejected =
        entries.stream()
            .filter(entry -> load(entry).recentFailures(now) >= MIN_FAILURES_TO_EJECT)
            .sorted(
                Comparator.comparingDouble((Entry entry) -> load(entry).recentFailures(now))
                    .reversed())
            .limit(maxEjected)
            .toList();
    return ejected.isEmpty()
        ? entries
        : entries.stream().filter(Predicate.not(ejected::contains)).toList();
  }

  /**
   * Returns the endpoints of the local region, unless the wait in other regions is shorter by more
   * than the margin.
   */
  private List<Entry> preferLocalRegion(List<Entry> entries, Instant now) {
    List<Entry> local = entries.stream().filter(this::isInLocalRegion).toList();
    if (local.isEmpty() || local.size() == entries.size()) {
      return entries;
    }
    List<Entry> remote = entries.stream().filter(Predicate.not(this::isInLocalRegion)).toList();
    double gain = minWaitMillis(local, now) - minWaitMillis(remote, now);
    return gain > REMOTE_REGION_MARGIN.toMillis() ? remote : local;
  }

  /**
   * Returns the endpoint that last ran the prefix, if it is healthy and not clearly busier than the
   * rest.
   */
  private Optional<Entry> findWarmCache(List<Entry> shortlist, RouteQuery query, Instant now) {
    if (query.prefix().isEmpty()) {
      return Optional.empty();
    }
    double meanUtilisation =
        shortlist.stream().mapToDouble(entry -> utilisation(entry, now)).average().orElse(0);
    return prefixAffinity
        .find(query.prefix().getAsLong())
        .flatMap(
            id ->
                shortlist.stream()
                    .filter(entry -> entry.announcement().endpoint().equals(id))
                    .findFirst())
        .filter(entry -> load(entry).recentFailures(now) < 1)
        .filter(entry -> utilisation(entry, now) < Math.min(1, meanUtilisation + AFFINITY_SLACK));
  }

  private Entry cheaperOfTwo(List<Entry> shortlist, Instant now) {
    if (shortlist.size() == 1) {
      return shortlist.getFirst();
    }
    List<Entry> drawn = new ArrayList<>(2);
    int first = random.nextInt(shortlist.size());
    int second = random.nextInt(shortlist.size() - 1);
    drawn.add(shortlist.get(first));
    drawn.add(shortlist.get(second < first ? second : second + 1));
    return costMillis(drawn.get(0), now) <= costMillis(drawn.get(1), now)
        ? drawn.get(0)
        : drawn.get(1);
  }

  private double minWaitMillis(List<Entry> entries, Instant now) {
    return entries.stream().mapToDouble(entry -> waitMillis(entry, now)).min().orElse(0);
  }

  private double costMillis(Entry entry, Instant now) {
    return waitMillis(entry, now)
        + FULL_BATCH_SLOWDOWN * serviceMillis(entry) * Math.min(1, utilisation(entry, now))
        + distanceMillis(entry)
        + FAILURE_COST_MILLIS * load(entry).recentFailures(now);
  }

  private double waitMillis(Entry entry, Instant now) {
    int capacity = entry.announcement().capacity();
    double ahead = expectedRequests(entry, now) + 1 - capacity;
    return ahead <= 0 ? 0 : serviceMillis(entry) * ahead / capacity;
  }

  private double utilisation(Entry entry, Instant now) {
    return expectedRequests(entry, now) / entry.announcement().capacity();
  }

  /** Returns the larger of the estimates by load reports and by what other gateways report. */
  private double expectedRequests(Entry entry, Instant now) {
    int outstanding = load(entry).outstanding();
    double others =
        loadSharing
            .reported(entry.announcement().endpoint(), now)
            .runningForGateways(loadSharing.otherGateways(), outstanding);
    return Math.max(load(entry).estimatedRequests(now), outstanding + others);
  }

  private double serviceMillis(Entry entry) {
    double known = load(entry).meanServiceMillis();
    return known > 0 ? known : DEFAULT_SERVICE_MILLIS;
  }

  private double distanceMillis(Entry entry) {
    return entry.announcement().place().equals(localPlace) ? 0 : OTHER_DATA_CENTRE_COST_MILLIS;
  }

  private boolean isInLocalRegion(Entry entry) {
    return entry.announcement().place().region().equals(localPlace.region());
  }

  private EndpointLoad load(Entry entry) {
    return load(entry.announcement().endpoint());
  }

  private EndpointLoad load(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, id -> new EndpointLoad());
  }
}
