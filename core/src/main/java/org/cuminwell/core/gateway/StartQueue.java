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
 * Queues admitted requests until the endpoints of their service have free capacity.
 *
 * <p>Invariants: a request is either queued, running or unknown; while a service has endpoints, a
 * new request does not start ahead of queued ones of that service. Not thread safe: the thread of
 * its {@link Gateway} owns it.
 */
final class StartQueue {

  private static final int MAX_QUEUED_PER_CUSTOMER = 256;
  private static final int MAX_QUEUED_PER_SERVICE = 2_048;
  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();
  private final Map<String, FairQueue> queues = new HashMap<>();
  private final Map<RequestId, String> running = new HashMap<>();

  /** Provides the capacity of a service. */
  interface Capacity {

    /** Returns how many requests the endpoints of the service can run concurrently. */
    int slots(String service);

    /** Returns how many gateways share these endpoints. */
    int gatewayCount();
  }

  /** Describes what happens to a request that arrives. Immutable and thread safe. */
  sealed interface Decision {

    /** Reports that the request starts now. */
    record Start() implements Decision {}

    /** Reports that the request is queued. */
    record Wait() implements Decision {}

    /** Reports that the request is refused. */
    record Refuse(Failure failure) implements Decision {}
  }

  /**
   * Starts, queues or refuses a request that has been admitted. If its service has no endpoint, it
   * starts at once, so that it is refused for that reason.
   */
  Decision startOrQueue(RunningCall call, Capacity capacity, Instant now) {
    String service = call.route().service().name();
    FairQueue queue = queues.get(service);
    boolean noneQueued = queue == null || queue.size() == 0;
    int slots = capacity.slots(service);
    if (slots == 0 || (noneQueued && limiter.canStart(service, slots, capacity.gatewayCount()))) {
      recordStarted(call.id(), service);
      return new Decision.Start();
    }
    return enqueue(call, service, now);
  }

  /**
   * Removes a request that has ended or must not start, and returns whether it was queued or
   * running.
   */
  boolean remove(RequestId id) {
    String service = running.remove(id);
    if (service != null) {
      limiter.recordEnded(service);
      return true;
    }
    return queues.values().stream().anyMatch(queue -> queue.remove(id));
  }

  /** Starts and returns the queued requests that there is free capacity for. */
  List<RequestId> startNext(Capacity capacity, Instant now) {
    List<RequestId> started = new ArrayList<>();
    queues.forEach(
        (service, queue) -> {
          while (queue.size() > 0
              && limiter.canStart(
                  service, Math.max(1, capacity.slots(service)), capacity.gatewayCount())) {
            queue
                .poll(now)
                .ifPresent(
                    request -> {
                      recordStarted(request.id(), service);
                      started.add(request.id());
                    });
          }
        });
    return started;
  }

  /** Removes and returns the requests that have waited for the maximum time. */
  List<RequestId> expire(Instant now) {
    return queues.values().stream()
        .flatMap(queue -> queue.expire(now).stream())
        .map(QueuedRequest::id)
        .toList();
  }

  /** Returns the failure of a request that has waited for the maximum time. */
  static Failure waitedTooLongFailure() {
    return Failure.notRunRetryAfter(
        ErrorCode.BUSY,
        "no endpoint had free capacity in time; retry later or at another entry host",
        Duration.ofSeconds(1));
  }

  private Decision enqueue(RunningCall call, String service, Instant now) {
    FairQueue queue =
        queues.computeIfAbsent(
            service, id -> new FairQueue(MAX_QUEUED_PER_CUSTOMER, MAX_QUEUED_PER_SERVICE));
    Instant latestDeadline = now.plus(MAX_WAIT);
    Instant deadline = call.deadline().isBefore(latestDeadline) ? call.deadline() : latestDeadline;
    long cost = Math.max(1, call.estimatedTokens());
    OfferResult result =
        queue.offer(new QueuedRequest(call.id(), call.customer().id(), cost, deadline), now);
    return switch (result) {
      case OfferResult.Queued q -> new Decision.Wait();
      case OfferResult.Refused r ->
          new Decision.Refuse(
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY,
                  "too many requests wait for the endpoints; retry after the time in Retry-After",
                  r.retryAfter()));
    };
  }

  private void recordStarted(RequestId id, String service) {
    running.put(id, service);
    limiter.recordStarted(service);
  }
}
