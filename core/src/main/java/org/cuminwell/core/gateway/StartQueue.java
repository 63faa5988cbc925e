package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.fairness.ConcurrencyLimiter;
import org.cuminwell.core.fairness.FairQueue;
import org.cuminwell.core.fairness.OfferResult;
import org.cuminwell.core.fairness.QueuedRequest;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Holds admitted requests back until their service has room.
 *
 * <p>Invariants: a request waits in one queue or runs or is unknown here; nobody overtakes those
 * who wait for the same service. Not thread safe: the thread of its {@link Gateway} owns it.
 */
final class StartQueue {

  private static final int MAX_OF_CUSTOMER = 256;
  private static final int MAX_OF_SERVICE = 2_048;
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

  private final ConcurrencyLimiter room = new ConcurrencyLimiter();
  private final Map<String, FairQueue> queues = new HashMap<>();
  private final Map<RequestId, String> running = new HashMap<>();

  /** Tells how much room there is for a service. */
  interface Capacity {

    /** Returns how many requests the endpoints of the service run at once. */
    int of(String service);

    /** Returns how many gateways share them. */
    int gateways();
  }

  /** Says what becomes of a request. Immutable and thread safe. */
  sealed interface Decision {

    /** It starts now. */
    record Start() implements Decision {}

    /** It waits. */
    record Wait() implements Decision {}

    /** It is refused. */
    record Refuse(Failure failure) implements Decision {}
  }

  /** Decides about a request that has been admitted. */
  Decision arrive(RunningCall call, Capacity capacity, Instant now) {
    String service = call.route().service().name();
    FairQueue queue = queues.get(service);
    boolean free = queue == null || queue.size() == 0;
    int total = capacity.of(service);
    if (total == 0 || (free && room.canStart(service, total, capacity.gateways()))) {
      start(call.id(), service);
      return new Decision.Start();
    }
    return queue(call, service, now);
  }

  /** Takes in that a request has ended, or is not to start, and returns whether it was known. */
  boolean ended(RequestId id) {
    String service = running.remove(id);
    if (service != null) {
      room.recordEnded(service);
      return true;
    }
    return queues.values().stream().anyMatch(queue -> queue.remove(id));
  }

  /** Starts and returns the requests that there is room for. */
  List<RequestId> next(Capacity capacity, Instant now) {
    List<RequestId> started = new ArrayList<>();
    queues.forEach(
        (service, queue) -> {
          while (queue.size() > 0
              && room.canStart(service, Math.max(1, capacity.of(service)), capacity.gateways())) {
            queue
                .poll(now)
                .ifPresent(
                    request -> {
                      start(request.id(), service);
                      started.add(request.id());
                    });
          }
        });
    return started;
  }

  /** Removes and returns the requests that have waited as long as they may. */
  List<RequestId> expire(Instant now) {
    return queues.values().stream()
        .flatMap(queue -> queue.expire(now).stream())
        .map(QueuedRequest::id)
        .toList();
  }

  /** Returns how a request that waited too long is refused. */
  static Failure tooLong() {
    return Failure.notRunRetryAfter(
        ErrorCode.BUSY,
        "no endpoint had room in time; retry later or at another entry host",
        Duration.ofSeconds(1));
  }

  private Decision queue(RunningCall call, String service, Instant now) {
    FairQueue queue =
        queues.computeIfAbsent(service, id -> new FairQueue(MAX_OF_CUSTOMER, MAX_OF_SERVICE));
    Instant latest = now.plus(LONGEST_WAIT);
    Instant deadline = call.deadline().isBefore(latest) ? call.deadline() : latest;
    long cost = Math.max(1, call.estimatedTokens());
    OfferResult offerResult =
        queue.offer(new QueuedRequest(call.id(), call.customer().id(), cost, deadline), now);
    return switch (offerResult) {
      case OfferResult.Queued q -> new Decision.Wait();
      case OfferResult.Refused r ->
          new Decision.Refuse(
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY,
                  "too much waits for the endpoints; retry after the time in Retry-After",
                  r.retryAfter()));
    };
  }

  private void start(RequestId id, String service) {
    running.put(id, service);
    room.recordStarted(service);
  }
}
