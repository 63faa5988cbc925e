package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;

/**
 * Remembers which prefixes other gateways have sent to one engine. Bounded; not thread safe: one
 * thread owns it.
 */
final class PeerPrefixes {

  private static final int MAX_PREFIXES = 4_096;

  private final LinkedHashMap<Long, Instant> sentAt = new LinkedHashMap<>();

  /** Records that the prefix was sent at {@code at} or later. */
  void record(long prefix, Instant at) {
    Instant known = sentAt.get(prefix);
    sentAt.putLast(prefix, known != null && known.isAfter(at) ? known : at);
    while (sentAt.size() > MAX_PREFIXES) {
      sentAt.pollFirstEntry();
    }
  }

  /** Returns whether the prefix was sent within {@code maxAge}. */
  boolean contains(long prefix, Duration maxAge, Instant now) {
    Instant at = sentAt.get(prefix);
    return at != null && now.isBefore(at.plus(maxAge));
  }

  /** Returns whether no prefix was recorded within {@code maxAge}. */
  boolean isOutdated(Duration maxAge, Instant now) {
    return sentAt.isEmpty() || !now.isBefore(sentAt.lastEntry().getValue().plus(maxAge));
  }

  void clear() {
    sentAt.clear();
  }
}
