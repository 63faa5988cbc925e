package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides what a gateway still takes after it was asked to stop.
 *
 * <p>For a grace everything is still served, so that callers who were told of this host a moment
 * ago are not refused while they learn of another. Then new requests are refused and running ones
 * finish. Not thread safe: one thread owns it.
 */
final class GracefulStop {

  /** How long requests are still taken after a stop was asked for. */
  static final Duration GRACE = Duration.ofSeconds(3);

  private @Nullable Instant askedAt;
  private boolean refusing;

  /** Takes in that a stop was asked for, and returns whether it is the first time. */
  boolean ask(Instant now) {
    if (askedAt != null) {
      return false;
    }
    askedAt = now;
    return true;
  }

  boolean isAsked() {
    return askedAt != null;
  }

  /** Returns whether new requests are refused. */
  boolean refuses(Instant now) {
    return askedAt != null && !now.isBefore(askedAt.plus(GRACE));
  }

  /** Returns true once, to do what is due when new requests begin to be refused. */
  boolean beginsRefusing() {
    boolean first = !refusing;
    refusing = true;
    return first;
  }
}
