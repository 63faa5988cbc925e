package org.cuminwell.shell.exchange;

import java.time.Instant;

/**
 * Bounds when the bytes arrived that one connection reads, also after pauses in which it read
 * nothing. Confined to the event loop of the connection.
 */
final class ArrivalBound {

  private final PollTimes polls;
  private final Instant establishedAfter;

  /** The bound when the connection last stopped reading; at first, that of its establishment. */
  private Instant boundAtPause;

  private Instant readingSince;
  private boolean reading = true;

  /** Bounds a connection that begins to read now. */
  ArrivalBound(PollTimes polls, Instant establishedAfter, Instant now) {
    this.polls = polls;
    this.establishedAfter = establishedAfter;
    this.boundAtPause = establishedAfter;
    this.readingSince = now;
  }

  /** Returns a time before which the connection was not established. */
  Instant establishedAfter() {
    return establishedAfter;
  }

  /** Returns a time before which what is read now did not arrive. */
  Instant arrivedAfter() {
    Instant loopBound = polls.arrivedAfter();
    return loopBound.isAfter(readingSince) ? loopBound : boundAtPause;
  }

  /** Records that the connection reads from now on, or that it pauses. */
  void setReading(boolean reads, Instant now) {
    if (reads && !reading) {
      readingSince = now;
    } else if (!reads && reading) {
      boundAtPause = arrivedAfter();
    }
    reading = reads;
  }
}
