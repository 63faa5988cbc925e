package org.cuminwell.core.consensus;

import java.time.Instant;

/**
 * Tells when this host's disk has taken nothing for too long.
 *
 * <p>Follows one write at a time: the newest one there is when the one followed before is durable.
 * Not thread safe: its replica owns it.
 */
final class SyncWatch {

  private long followed;
  private Instant since = Instant.MIN;

  /**
   * Returns whether a write has waited too long to become durable.
   *
   * @param written the sequence number of the newest write
   * @param durable the sequence number up to which all writes are durable
   */
  boolean isStalled(long written, long durable, Instant now) {
    if (durable >= followed) {
      followed = written;
      since = now;
    }
    return durable < followed && !now.isBefore(since.plus(ConsensusTimes.SYNC_PATIENCE));
  }
}
