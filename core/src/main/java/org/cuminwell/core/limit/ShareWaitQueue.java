package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Queues requests that this gateway's share could not admit, until a grant or elapsed time brings
 * the tokens.
 *
 * <p>A customer that is new at a gateway has no share there, and requesting one takes a round trip
 * to the leader. Invariants: no request waits longer than {@link ChargedCall#maxShareWait} or past
 * its deadline, checked at each {@link #retry}; at most {@link #MAX_WAITING} requests wait. Not
 * thread safe: one thread owns it.
 */
public final class ShareWaitQueue<C extends ChargedCall> {

  /** Default for how long a request may wait for a share. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(2);

  /** Maximum number of requests that wait for shares. */
  static final int MAX_WAITING = 4_096;

  private final Map<RequestId, Entry<C>> waiting = new LinkedHashMap<>();

  private record Entry<C>(C call, Instant giveUpAt) {}

  /** Lists the requests that stopped waiting. Immutable and thread safe. */
  public record Result<C>(List<C> admitted, List<Refused<C>> refused) {}

  /** Pairs a request with the reason why it was refused. Immutable and thread safe. */
  public record Refused<C>(C call, Failure failure) {}

  /** Queues the request, and returns false if the queue is full. */
  public boolean offer(C call, Instant now) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    Instant latestGiveUp = now.plus(call.maxShareWait());
    Instant giveUpAt = call.deadline().isBefore(latestGiveUp) ? call.deadline() : latestGiveUp;
    waiting.put(call.id(), new Entry<>(call, giveUpAt));
    return true;
  }

  /**
   * Retries all waiting requests in order of arrival, and removes those that are now admitted or
   * refused.
   */
  public Result<C> retry(ShareHolder limits, Instant now) {
    Result<C> result = new Result<>(new ArrayList<>(), new ArrayList<>());
    waiting.values().removeIf(entry -> tryDecide(entry, limits, now, result));
    return result;
  }

  /**
   * Removes a request, for example after its caller disconnected, and returns whether it was
   * waiting.
   */
  public boolean remove(RequestId id) {
    return waiting.remove(id) != null;
  }

  /**
   * Adds the request to the result if it is admitted or refused now, and returns whether it was.
   */
  private static <C extends ChargedCall> boolean tryDecide(
      Entry<C> entry, ShareHolder limits, Instant now, Result<C> result) {
    C call = entry.call();
    Admission admission = limits.admitAgain(call.customer(), call.estimatedTokens(), now);
    boolean keepsWaiting =
        admission instanceof Admission.ShareShort && now.isBefore(entry.giveUpAt());
    if (keepsWaiting) {
      return false;
    }
    LimitRefusal.of(admission, call.estimatedTokens())
        .ifPresentOrElse(
            failure -> result.refused().add(new Refused<>(call, failure)),
            () -> result.admitted().add(call));
    return true;
  }
}
