package org.cuminwell.core.fairness;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RequestId;

/**
 * Queues requests by customer and starts them by deficit round robin.
 *
 * <p>Each turn adds {@link #QUANTUM_TOKENS} to the deficit counter of a customer; its next request
 * starts once the counter covers the cost of the request. So customers that always have queued
 * requests start equal numbers of tokens, whatever the sizes of their requests. Invariants: no more
 * requests wait than the bounds allow; the requests of one customer start in the order of their
 * arrival; a customer without queued requests gains no tokens. Not thread safe: one thread owns it.
 */
public final class FairQueue {

  /** The tokens that one turn adds to the deficit counter of a customer. */
  static final long QUANTUM_TOKENS = 500;

  private static final Duration MAX_WAIT = Duration.ofSeconds(60);
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final double NANOS_PER_SECOND = 1e9;

  private final int maxPerCustomer;
  private final int maxTotal;
  private final LinkedHashMap<CustomerId, CustomerQueue> customerQueues = new LinkedHashMap<>();
  private final DrainRate drainRate = new DrainRate();
  private int queuedCount;

  /** Holds the queued requests and the deficit counter of one customer. */
  private static final class CustomerQueue {
    final ArrayDeque<QueuedRequest> requests = new ArrayDeque<>();
    long costTokens;
    long deficitTokens;
    boolean turnStarted;

    void add(QueuedRequest request) {
      requests.addLast(request);
      costTokens += request.costTokens();
    }

    QueuedRequest removeFirst() {
      QueuedRequest first = requests.removeFirst();
      costTokens -= first.costTokens();
      return first;
    }
  }

  /**
   * Creates an empty queue.
   *
   * @param maxPerCustomer how many requests of one customer may wait
   * @param maxTotal how many requests may wait in total
   */
  public FairQueue(int maxPerCustomer, int maxTotal) {
    this.maxPerCustomer = maxPerCustomer;
    this.maxTotal = maxTotal;
  }

  /** Queues the request, unless the queue is full or the expected wait exceeds its deadline. */
  public OfferResult offer(QueuedRequest request, Instant now) {
    drainRate.advanceTo(queuedCount > 0, now);
    CustomerQueue queue = customerQueues.get(request.customer());
    int queuedOfCustomer = queue == null ? 0 : queue.requests.size();
    Duration wait = expectedWait(request);
    boolean tooLate = now.plus(wait).isAfter(request.deadline());
    if (queuedOfCustomer >= maxPerCustomer || queuedCount >= maxTotal || tooLate) {
      return new OfferResult.Refused(retryAfter(wait));
    }
    customerQueues.computeIfAbsent(request.customer(), id -> new CustomerQueue()).add(request);
    queuedCount++;
    return new OfferResult.Queued();
  }

  /** Removes and returns the request that starts next. */
  public Optional<QueuedRequest> poll(Instant now) {
    drainRate.advanceTo(queuedCount > 0, now);
    if (queuedCount == 0) {
      return Optional.empty();
    }
    while (true) {
      Map.Entry<CustomerId, CustomerQueue> next = customerQueues.firstEntry();
      CustomerQueue queue = next.getValue();
      if (!queue.turnStarted) {
        queue.turnStarted = true;
        queue.deficitTokens += QUANTUM_TOKENS;
      }
      if (queue.requests.getFirst().costTokens() <= queue.deficitTokens) {
        return Optional.of(start(next.getKey(), queue));
      }
      queue.turnStarted = false;
      customerQueues.putLast(next.getKey(), queue);
    }
  }

  /** Removes and returns the requests whose deadlines have passed. */
  public List<QueuedRequest> expire(Instant now) {
    return removeIf(request -> !now.isBefore(request.deadline()));
  }

  /** Removes the request, since its caller has disconnected, and returns whether it was queued. */
  public boolean remove(RequestId id) {
    return !removeIf(request -> request.id().equals(id)).isEmpty();
  }

  /** Returns the number of queued requests. */
  public int size() {
    return queuedCount;
  }

  private QueuedRequest start(CustomerId customer, CustomerQueue queue) {
    QueuedRequest first = queue.removeFirst();
    queue.deficitTokens -= first.costTokens();
    drainRate.recordStarted(first.costTokens());
    queuedCount--;
    if (queue.requests.isEmpty()) {
      customerQueues.remove(customer);
    }
    return first;
  }

  private interface RequestFilter {
    boolean matches(QueuedRequest request);
  }

  private List<QueuedRequest> removeIf(RequestFilter filter) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (Iterator<CustomerQueue> each = customerQueues.values().iterator(); each.hasNext(); ) {
      CustomerQueue queue = each.next();
      queue.requests.removeIf(
          request -> {
            boolean matches = filter.matches(request);
            if (matches) {
              removed.add(request);
              queue.costTokens -= request.costTokens();
            }
            return matches;
          });
      if (queue.requests.isEmpty()) {
        each.remove();
      }
    }
    queuedCount -= removed.size();
    return removed;
  }

  /**
   * Returns the expected wait of the request: the time in which its customer's queue and its own
   * cost drain if all customers drain equally. It never exceeds the time to drain everything
   * queued, nor {@link #MAX_WAIT}.
   */
  private Duration expectedWait(QueuedRequest request) {
    if (queuedCount == 0) {
      return Duration.ZERO;
    }
    CustomerQueue queue = customerQueues.get(request.customer());
    long customerTokens = request.costTokens() + (queue == null ? 0 : queue.costTokens);
    long otherTokens = 0;
    for (Map.Entry<CustomerId, CustomerQueue> other : customerQueues.entrySet()) {
      if (!other.getKey().equals(request.customer())) {
        otherTokens += Math.min(other.getValue().costTokens, customerTokens);
      }
    }
    double seconds =
        (double) (customerTokens + otherTokens) / Math.max(1, drainRate.tokensPerSecond());
    double nanos = Math.min(seconds * NANOS_PER_SECOND, (double) MAX_WAIT.toNanos());
    return Duration.ofNanos((long) nanos);
  }

  private static Duration retryAfter(Duration wait) {
    return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
  }
}
