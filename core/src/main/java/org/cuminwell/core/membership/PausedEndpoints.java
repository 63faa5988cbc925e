package org.cuminwell.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.MembershipMessage.Item;

/**
 * Remembers which endpoints have asked, by a refusal with a retry time, not to be sent requests
 * until then.
 *
 * <p>Invariant: a pause never ends earlier than any response or message has asked for, up to {@link
 * #MAX_PAUSE}. Not thread safe: one thread owns it.
 */
final class PausedEndpoints {

  /** The longest pause; a longer one would keep an endpoint idle because of one wrong response. */
  static final Duration MAX_PAUSE = Duration.ofMinutes(1);

  /** How much longer a pause must become for other processes to be told of it. */
  private static final Duration MIN_EXTENSION = Duration.ofMillis(100);

  private final Map<EndpointIncarnation, Instant> until = new HashMap<>();
  private final Map<EndpointIncarnation, Instant> toldUntil = new HashMap<>();

  /** Records that the endpoint must not be sent requests for the given time. */
  void record(EndpointIncarnation endpoint, Duration remaining, Instant now) {
    removeEnded(now);
    Duration bounded = remaining.compareTo(MAX_PAUSE) < 0 ? remaining : MAX_PAUSE;
    if (bounded.isPositive()) {
      Instant end = now.plus(bounded);
      until.merge(endpoint, end, (known, other) -> known.isAfter(other) ? known : other);
    }
  }

  /** Records that other processes know of a pause that long, so that it is not sent to them. */
  void markTold(EndpointIncarnation endpoint, Duration remaining, Instant now) {
    Instant end = now.plus(remaining.compareTo(MAX_PAUSE) < 0 ? remaining : MAX_PAUSE);
    toldUntil.merge(endpoint, end, (known, other) -> known.isAfter(other) ? known : other);
  }

  boolean isPaused(EndpointIncarnation endpoint, Instant now) {
    Instant end = until.get(endpoint);
    // A clock that jumped back must not prolong a pause beyond the longest one.
    return end != null && now.isBefore(end) && !now.plus(MAX_PAUSE).isBefore(end);
  }

  /** Removes the pauses that are over, and returns those that other processes must be told of. */
  List<Item> takeUntold(Instant now) {
    removeEnded(now);
    List<Item> items = new ArrayList<>();
    until.forEach(
        (endpoint, end) -> {
          Instant told = toldUntil.get(endpoint);
          if (told == null || end.isAfter(told.plus(MIN_EXTENSION))) {
            toldUntil.put(endpoint, end);
            items.add(
                new Item.Paused(
                    endpoint.endpoint(), endpoint.incarnation(), Duration.between(now, end)));
          }
        });
    return items;
  }

  private void removeEnded(Instant now) {
    until.entrySet().removeIf(pause -> !isPaused(pause.getKey(), now));
    toldUntil.keySet().retainAll(until.keySet());
  }
}
