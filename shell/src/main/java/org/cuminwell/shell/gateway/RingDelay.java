package org.cuminwell.shell.gateway;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Measures how long events wait in a ring, by one event that is offered periodically. Thread safe.
 */
final class RingDelay {

  private @Nullable Instant waitingSince;
  private Duration latest = Duration.ZERO;

  /** Records that the periodic event is offered to the ring, whether or not it has room. */
  synchronized void recordOffered(Instant now) {
    if (waitingSince == null) {
      waitingSince = now;
    }
  }

  /** Records that the periodic event was taken from the ring. */
  synchronized void recordTaken(Instant now) {
    if (waitingSince != null) {
      latest = Duration.between(waitingSince, now);
      waitingSince = null;
    }
  }

  /** Returns how long the latest event has waited, or waits already. */
  synchronized Duration delay(Instant now) {
    return waitingSince == null ? latest : Duration.between(waitingSince, now);
  }
}
