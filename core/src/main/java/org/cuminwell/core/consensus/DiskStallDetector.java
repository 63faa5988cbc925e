package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Detects that this host's disk has stalled.
 *
 * <p>Watches one write at a time; once that write is durable, it watches the newest one. Not thread
 * safe: its replica owns it.
 */
final class DiskStallDetector {

  private long watchedSequence;
  private Instant watchedSince = Instant.MIN;

  /**
   * Returns whether the watched write has waited too long to become durable.
   *
   * @param written the sequence number of the newest write
   * @param durable the sequence number up to which all writes are durable
   */
  boolean isStalled(long written, long durable, Instant now) {
    if (durable >= watchedSequence) {
      watchedSequence = written;
      watchedSince = now;
    }
    return durable < watchedSequence
        && !now.isBefore(watchedSince.plus(ConsensusTimeouts.SYNC_TIMEOUT));
  }
}
