package org.cuminwell.core.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.crash.EndpointIncarnation;

/**
 * Remembers which incarnations of endpoints have said in a response that they leave.
 *
 * <p>Invariant: a departure is remembered for {@link EndpointTable#DEPARTURE_RETENTION} after it
 * was last seen. Not thread safe: one thread owns it.
 */
public final class ObservedDepartures {

  private final Map<EndpointIncarnation, Instant> seenAt = new HashMap<>();

  /** Records a departure, and returns whether it was not known. */
  public boolean record(EndpointIncarnation endpoint, Instant now) {
    seenAt.values().removeIf(at -> isForgotten(at, now));
    return seenAt.put(endpoint, now) == null;
  }

  /** Returns whether the incarnation is known to leave. */
  public boolean contains(EndpointIncarnation endpoint, Instant now) {
    Instant at = seenAt.get(endpoint);
    return at != null && !isForgotten(at, now);
  }

  private static boolean isForgotten(Instant seenAt, Instant now) {
    return !now.isBefore(seenAt.plus(EndpointTable.DEPARTURE_RETENTION));
  }
}
