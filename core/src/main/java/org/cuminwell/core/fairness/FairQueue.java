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
 * Keeps waiting requests in a queue for each customer and lets them start by deficit round robin.
 *
 * <p>Each turn gives a customer {@link #QUANTUM_TOKENS}; a request starts when its customer has
 * gathered its cost. So customers that always have requests waiting start equal numbers of tokens,
 * whatever the sizes. Invariants: no more than the bounds wait; the requests of one customer start
 * in the order of their coming; a customer without waiting requests gathers nothing. Not thread
 * safe: one thread owns it.
 */
public final class FairQueue {

  /** What a customer gathers in one turn, in tokens. */
  static final long QUANTUM_TOKENS = 500;

  private static final Duration LONGEST_RETRY = Duration.ofSeconds(60);
  private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);
  private static final double NANOS_PER_SECOND = 1e9;

  private final int maxOfCustomer;
  private final int maxOfAll;
  private final LinkedHashMap<CustomerId, Line> lines = new LinkedHashMap<>();
  private final DrainRate drain = new DrainRate();
  private int waiting;

  /** Holds the waiting requests of one customer. */
  private static final class Line {
    final ArrayDeque<QueuedRequest> requests = new ArrayDeque<>();
    long costTokens;
    long deficitTokens;
    boolean inTurn;

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
   * Makes an empty queue.
   *
   * @param maxOfCustomer how many requests of one customer may wait
   * @param maxOfAll how many requests may wait together
   */
  public FairQueue(int maxOfCustomer, int maxOfAll) {
    this.maxOfCustomer = maxOfCustomer;
    this.maxOfAll = maxOfAll;
  }

  /** Lets the request wait, unless there is no room or it would wait beyond its deadline. */
  public OfferResult offer(QueuedRequest request, Instant now) {
    drain.pass(waiting > 0, now);
    Line line = lines.get(request.customer());
    int ahead = line == null ? 0 : line.requests.size();
    Duration wait = expectedWait(request);
    boolean tooLate = now.plus(wait).isAfter(request.deadline());
    if (ahead >= maxOfCustomer || waiting >= maxOfAll || tooLate) {
      return new OfferResult.Refused(retryAfter(wait));
    }
    lines.computeIfAbsent(request.customer(), id -> new Line()).add(request);
    waiting++;
    return new OfferResult.Queued();
  }

  /** Takes the request that starts next. */
  public Optional<QueuedRequest> poll(Instant now) {
    drain.pass(waiting > 0, now);
    if (waiting == 0) {
      return Optional.empty();
    }
    while (true) {
      Map.Entry<CustomerId, Line> turn = lines.firstEntry();
      Line line = turn.getValue();
      if (!line.inTurn) {
        line.inTurn = true;
        line.deficitTokens += QUANTUM_TOKENS;
      }
      if (line.requests.getFirst().costTokens() <= line.deficitTokens) {
        return Optional.of(start(turn.getKey(), line));
      }
      line.inTurn = false;
      lines.putLast(turn.getKey(), line);
    }
  }

  /** Removes and returns the requests whose deadlines have come. */
  public List<QueuedRequest> expire(Instant now) {
    return removeIf(request -> !now.isBefore(request.deadline()));
  }

  /** Removes the request, whose caller has gone away, and returns whether it waited. */
  public boolean remove(RequestId id) {
    return !removeIf(request -> request.id().equals(id)).isEmpty();
  }

  /** Returns how many requests wait. */
  public int size() {
    return waiting;
  }

  private QueuedRequest start(CustomerId customer, Line line) {
    QueuedRequest first = line.removeFirst();
    line.deficitTokens -= first.costTokens();
    drain.started(first.costTokens());
    waiting--;
    if (line.requests.isEmpty()) {
      lines.remove(customer);
    }
    return first;
  }

  private interface Test {
    boolean of(QueuedRequest request);
  }

  private List<QueuedRequest> removeIf(Test test) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (Iterator<Line> each = lines.values().iterator(); each.hasNext(); ) {
      Line line = each.next();
      line.requests.removeIf(
          request -> {
            boolean out = test.of(request);
            if (out) {
              removed.add(request);
              line.costTokens -= request.costTokens();
            }
            return out;
          });
      if (line.requests.isEmpty()) {
        each.remove();
      }
    }
    waiting -= removed.size();
    return removed;
  }

  /**
   * Returns how long the request would wait: its customer's line and its own cost at an equal part
   * of the drain, though never longer than if everything that waits went first.
   */
  private Duration expectedWait(QueuedRequest request) {
    if (waiting == 0) {
      return Duration.ZERO;
    }
    Line line = lines.get(request.customer());
    long own = request.costTokens() + (line == null ? 0 : line.costTokens);
    long before = 0;
    for (Map.Entry<CustomerId, Line> other : lines.entrySet()) {
      if (!other.getKey().equals(request.customer())) {
        before += Math.min(other.getValue().costTokens, own);
      }
    }
    double seconds = (double) (own + before) / Math.max(1, drain.tokensPerSecond());
    double nanos = Math.min(seconds * NANOS_PER_SECOND, (double) LONGEST_RETRY.toNanos());
    return Duration.ofNanos((long) nanos);
  }

  private static Duration retryAfter(Duration wait) {
    return wait.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : wait;
  }
}
