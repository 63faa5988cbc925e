package org.cuminwell.core.limit;

import java.time.Duration;
import org.cuminwell.core.model.HostId;

/** Records a change in which shares a gateway may use. Immutable and thread safe. */
public sealed interface ShareLogEvent {

  /** Reports that the gateway asks another leader, of a later term, from now on. */
  record LeaderFollowed(HostId leader, long epoch) implements ShareLogEvent {}

  /** Reports that a new leader lets the gateway keep the shares of an earlier one. */
  record SharesAdopted(long epoch, Duration leaseLeft) implements ShareLogEvent {}

  /**
   * Reports that the lease of all shares has ended, so that only floors are left.
   *
   * @param epoch the term of the leader that the gateway followed by then
   * @param grantEpoch the term of the leader that granted the shares
   */
  record LeaseExpired(long epoch, long grantEpoch) implements ShareLogEvent {}
}
