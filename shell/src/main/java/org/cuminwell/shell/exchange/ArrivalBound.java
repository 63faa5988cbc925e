package org.cuminwell.shell.exchange;

import java.time.Instant;

/**
 * Bounds when the bytes arrived that one connection reads, also after pauses in which it read
 * nothing. Confined to the event loop of the connection.
 */
final class ArrivalBound {

  private final LoopPulse pulse;
  private final Instant establishedAfter;

  /** What held when the connection last began to read, and when that was. */
  private Instant boundAtResume;

  private Instant readingSince;
  private boolean reading = true;

  /** Bounds a connection that begins to read now. */
  ArrivalBound(LoopPulse pulse, Instant establishedAfter, Instant now) {
    this.pulse = pulse;
    this.establishedAfter = establishedAfter;
    this.boundAtResume = establishedAfter;
    this.readingSince = now;
  }

  /** Returns a time before which the connection was not established. */
  Instant establishedAfter() {
    return establishedAfter;
  }

  /** Returns a time before which what is read now did not arrive. */
  Instant arrivedAfter() {
    Instant atLoop = pulse.arrivedAfter();
    return atLoop.isAfter(readingSince) ? atLoop : boundAtResume;
  }

  /** Records that the connection reads from now on, or that it pauses. */
  void setReading(boolean reads, Instant now) {
    if (reads && !reading) {
      readingSince = now;
    } else if (!reads && reading) {
      boundAtResume = arrivedAfter();
    }
    reading = reads;
  }
}
