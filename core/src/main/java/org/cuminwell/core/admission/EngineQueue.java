package org.cuminwell.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RequestPriority;

/**
 * Queues requests for which no engine has headroom.
 *
 * <p>Requests start by priority, then by how little their customer has been started lately, then by
 * the time by which they must start. Every {@link #STARTS_PER_FLOOR}th start goes to the less
 * urgent request that has waited longest, so that no kind or customer is kept out altogether.
 * Invariants: at most {@link #MAX_WAITING} requests wait, and at most {@link #MAX_PER_CUSTOMER} of
 * one customer; none waits past its {@link WaitingRequest#startBy}, checked at each {@link
 * #takeLate}. Not thread safe: one thread owns it.
 */
public final class EngineQueue<R extends WaitingRequest> {

  /** The largest number of requests that wait. */
  static final int MAX_WAITING = 64;

  /** The largest number of requests of one customer, or without a customer, that wait. */
  static final int MAX_PER_CUSTOMER = 24;

  /** One start in this many goes to a less urgent request, if one waits. */
  static final int STARTS_PER_FLOOR = 4;

  /** Customers whose usage differs by less than this are ordered by the time to start by. */
  private static final double USAGE_STEP_TOKENS = 2_000;

  private static final double USAGE_HALF_LIFE_SECONDS = 2;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.4;
  private static final double MAX_RETRY_AFTER_SECONDS = 3;

  /** The fraction of the wait by which the time to retry after varies in both directions. */
  private static final double RETRY_SPREAD = 0.4;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int HASH_FACTOR = 0x9E3779B9;
  private static final int HASH_RANGE = 1_000_003;

  private final LinkedHashMap<RequestId, Entry<R>> waiting = new LinkedHashMap<>();
  private final Map<CustomerId, Usage> usages = new HashMap<>();
  private final StartRate startRate = new StartRate();
  private int starts;

  private record Entry<R>(R request, Instant since) {}

  /** Holds the tokens of a customer's requests that have started, as of a time. */
  private record Usage(double tokens, Instant at) {

    double valueAt(Instant now) {
      double age = Math.max(0, Duration.between(at, now).toNanos() / NANOS_PER_SECOND);
      return tokens * Math.pow(0.5, age / USAGE_HALF_LIFE_SECONDS);
    }
  }

  /** Says what happens to a request. Immutable and thread safe. */
  public sealed interface Offer {
    /** Reports that the request waits. */
    record Queued() implements Offer {}

    /** Reports that the request can't start in time, and when a retry may succeed. */
    record Refused(Duration retryAfter) implements Offer {}
  }

  /** Queues the request, or refuses it if it could not start in time. */
  public Offer offer(R request, Instant now) {
    startRate.advanceTo(!waiting.isEmpty(), now);
    boolean isFull =
        waiting.size() >= MAX_WAITING || countOf(request.customerId()) >= MAX_PER_CUSTOMER;
    boolean isTooLate = now.plus(expectedWait(request)).isAfter(request.startBy());
    if (isFull || isTooLate || !now.isBefore(request.startBy())) {
      return new Offer.Refused(retryAfter(request.id()));
    }
    waiting.put(request.id(), new Entry<>(request, now));
    return new Offer.Queued();
  }

  /** Returns whether a request of the same or a higher priority waits for the same engines. */
  public boolean isQueuedBefore(R request) {
    return waiting.values().stream()
        .map(Entry::request)
        .filter(other -> other.demand().sharesEnginesWith(request.demand()))
        .anyMatch(other -> other.priority().compareTo(request.priority()) <= 0);
  }

  /** Returns the waiting requests in the order in which they should start now. */
  public List<R> inOrder(Instant now) {
    List<Entry<R>> entries = new ArrayList<>(waiting.values());
    entries.sort(
        Comparator.comparing((Entry<R> entry) -> entry.request().priority())
            .thenComparingLong(entry -> usageSteps(entry.request(), now))
            .thenComparing(entry -> entry.request().startBy()));
    if (starts % STARTS_PER_FLOOR == STARTS_PER_FLOOR - 1 && !entries.isEmpty()) {
      RequestPriority highest = entries.getFirst().request().priority();
      waiting.values().stream()
          .filter(entry -> !entry.request().priority().equals(highest))
          .findFirst()
          .ifPresent(
              longest -> {
                entries.remove(longest);
                entries.addFirst(longest);
              });
    }
    return entries.stream().map(Entry::request).toList();
  }

  /** Records that a waiting request starts, and removes it. */
  public void recordStarted(R request, Instant now) {
    startRate.advanceTo(!waiting.isEmpty(), now);
    if (waiting.remove(request.id()) == null) {
      return;
    }
    starts++;
    startRate.recordStarted();
    request
        .customerId()
        .ifPresent(
            customer ->
                usages.put(
                    customer,
                    new Usage(
                        usageOf(request.customerId(), now) + (double) request.estimatedTokens(),
                        now)));
  }

  /** Removes and returns the requests that can no longer start in time. */
  public List<R> takeLate(Instant now) {
    startRate.advanceTo(!waiting.isEmpty(), now);
    List<R> late =
        waiting.values().stream()
            .map(Entry::request)
            .filter(request -> !now.isBefore(request.startBy()))
            .toList();
    late.forEach(request -> waiting.remove(request.id()));
    usages.values().removeIf(usage -> usage.valueAt(now) < 1);
    return late;
  }

  /** Removes a request, since it has ended, and returns whether it was waiting. */
  public boolean remove(RequestId id) {
    return waiting.remove(id) != null;
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /**
   * Returns when a refused request should be sent again: once what waits has drained, spread by the
   * request's id so that callers refused at one moment do not return at one moment.
   */
  public Duration retryAfter(RequestId id) {
    double drainSeconds = (waiting.size() + 1) / startRate.perSecond();
    double bounded =
        Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(MIN_RETRY_AFTER_SECONDS, drainSeconds));
    double unit = (double) Math.floorMod(id.hashCode() * HASH_FACTOR, HASH_RANGE) / HASH_RANGE;
    return seconds(bounded * (1 + RETRY_SPREAD * (2 * unit - 1)));
  }

  /**
   * Returns how long the requests that start before this one take to start: those of its priority
   * or a higher one that wait for the same engines, of each customer no more than of its own; or
   * those of its own priority at the rate that is kept for less urgent ones.
   */
  private Duration expectedWait(R request) {
    int ownTurn = countOf(request.customerId()) + 1;
    Map<Optional<CustomerId>, Integer> ahead = new HashMap<>();
    Map<Optional<CustomerId>, Integer> equal = new HashMap<>();
    for (Entry<R> entry : waiting.values()) {
      if (!entry.request().demand().sharesEnginesWith(request.demand())) {
        continue;
      }
      int order = entry.request().priority().compareTo(request.priority());
      if (order <= 0) {
        ahead.merge(entry.request().customerId(), 1, Integer::sum);
      }
      if (order == 0) {
        equal.merge(entry.request().customerId(), 1, Integer::sum);
      }
    }
    int starts = Math.min(inTurns(ahead, ownTurn), inTurns(equal, ownTurn) * STARTS_PER_FLOOR);
    return seconds(Math.min(starts / startRate.perSecond(), MAX_RETRY_AFTER_SECONDS));
  }

  /** Returns how many requests start if each customer has at most {@code turns} of them started. */
  private static int inTurns(Map<Optional<CustomerId>, Integer> counts, int turns) {
    return counts.values().stream().mapToInt(count -> Math.min(count, turns)).sum();
  }

  private static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  private int countOf(Optional<CustomerId> customer) {
    int count = 0;
    for (Entry<R> entry : waiting.values()) {
      count += entry.request().customerId().equals(customer) ? 1 : 0;
    }
    return count;
  }

  private double usageOf(Optional<CustomerId> customer, Instant now) {
    return customer.map(usages::get).map(usage -> usage.valueAt(now)).orElse(0.0);
  }

  private long usageSteps(R request, Instant now) {
    return (long) (usageOf(request.customerId(), now) / USAGE_STEP_TOKENS);
  }
}
