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
 * Holds requests for which this gateway's share was short, until a grant or time brings the tokens.
 *
 * <p>A customer that is new at a gateway has no share there, and asking for one takes a round trip
 * to the leader. Invariant: no request waits beyond {@link #MAX_WAIT}, and no more than {@link
 * #MAX_WAITING} do. Not thread safe: one thread owns it.
 */
public final class ShareWaitQueue<C extends ChargedCall> {

  /** How long a request may wait for a share. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(2);

  /** How many requests may wait for shares. */
  static final int MAX_WAITING = 4_096;

  private final Map<RequestId, Entry<C>> waiting = new LinkedHashMap<>();

  private record Entry<C>(C call, Instant giveUpAt) {}

  /** Says which requests need not wait any longer. Immutable and thread safe. */
  public record Result<C>(List<C> admitted, List<Refused<C>> refused) {}

  /** Pairs a request with the reason why it does not run. Immutable and thread safe. */
  public record Refused<C>(C call, Failure failure) {}

  /** Lets the request wait, and returns whether there was room. */
  public boolean offer(C call, Instant now) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    Instant latestGiveUp = now.plus(call.maxShareWait());
    Instant giveUpAt = call.deadline().isBefore(latestGiveUp) ? call.deadline() : latestGiveUp;
    waiting.put(call.id(), new Entry<>(call, giveUpAt));
    return true;
  }

  /** Tries all that wait again, in the order of their coming. */
  public Result<C> retry(ShareHolder limits, Instant now) {
    Result<C> result = new Result<>(new ArrayList<>(), new ArrayList<>());
    waiting.values().removeIf(entry -> tryDecide(entry, limits, now, result));
    return result;
  }

  /** Forgets a request that need not wait any longer, and returns whether it waited. */
  public boolean remove(RequestId id) {
    return waiting.remove(id) != null;
  }

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
