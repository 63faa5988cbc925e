package org.cuminwell.shell.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cuminwell.core.model.RequestId;

/**
 * Holds the requests that a gateway is serving.
 *
 * <p>Invariant: there are never more than {@link #MAX_CALLS}, so that a ring with room for the
 * events of that many never refuses one. Thread safe.
 */
final class PendingCalls {

  /** How many requests a gateway serves at once. */
  static final int MAX_CALLS = 12_288;

  private final Map<RequestId, PendingCall> calls = new ConcurrentHashMap<>();
  private final AtomicInteger count = new AtomicInteger();

  /** Adds the call, and returns whether there was room. */
  boolean add(PendingCall call) {
    if (count.incrementAndGet() > MAX_CALLS) {
      count.decrementAndGet();
      return false;
    }
    calls.put(call.id(), call);
    return true;
  }

  /** Does the step with the call if it is still being served. */
  void with(RequestId id, Consumer<PendingCall> step) {
    PendingCall call = calls.get(id);
    if (call != null) {
      step.accept(call);
    }
  }

  boolean contains(RequestId id) {
    return calls.containsKey(id);
  }

  /** Removes the call; further calls for the same id do nothing. */
  void remove(RequestId id) {
    if (calls.remove(id) != null) {
      count.decrementAndGet();
    }
  }

  int size() {
    return count.get();
  }
}
