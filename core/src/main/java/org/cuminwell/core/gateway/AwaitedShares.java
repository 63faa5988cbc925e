package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.limit.Admission;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Holds requests for which this gateway's share was short, until a grant or time brings the tokens.
 *
 * <p>A customer that is new at a gateway has no share there, and asking for one takes a round trip
 * to the leader. Invariant: no request waits beyond {@link #LONGEST_WAIT}, and no more than {@link
 * #MAX_WAITING} do. Not thread safe: the thread of its {@link Gateway} owns it.
 */
final class AwaitedShares {

  /** How long a request may wait for a share. */
  static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

  /** How many requests may wait for shares. */
  static final int MAX_WAITING = 4_096;

  private final Map<RequestId, Entry> waiting = new LinkedHashMap<>();

  private record Entry(RunningCall call, Instant until) {}

  /** Says which requests need not wait any longer. Immutable and thread safe. */
  record Result(List<RunningCall> admitted, List<Refused> refused) {}

  /** Pairs a request with the reason why it does not run. Immutable and thread safe. */
  record Refused(RunningCall call, Failure failure) {}

  /** Lets the request wait, and returns whether there was room. */
  boolean offer(RunningCall call, Instant now) {
    if (waiting.size() >= MAX_WAITING) {
      return false;
    }
    Instant latest = now.plus(LONGEST_WAIT);
    Instant until = call.deadline().isBefore(latest) ? call.deadline() : latest;
    waiting.put(call.id(), new Entry(call, until));
    return true;
  }

  /** Tries all that wait again, in the order of their coming. */
  Result retry(ShareHolder limits, Instant now) {
    Result result = new Result(new ArrayList<>(), new ArrayList<>());
    waiting.values().removeIf(entry -> isDecided(entry, limits, now, result));
    return result;
  }

  void remove(RequestId id) {
    waiting.remove(id);
  }

  private static boolean isDecided(Entry entry, ShareHolder limits, Instant now, Result result) {
    RunningCall call = entry.call();
    Admission admission = limits.admitAgain(call.customer(), call.estimate(), now);
    boolean waits = admission instanceof Admission.ShareShort && now.isBefore(entry.until());
    if (waits) {
      return false;
    }
    LimitRefusal.of(admission, call.estimate())
        .ifPresentOrElse(
            failure -> result.refused().add(new Refused(call, failure)),
            () -> result.admitted().add(call));
    return true;
  }
}
