package org.cuminwell.core.idempotency;

import java.util.Optional;
import org.cuminwell.core.model.HostId;

/**
 * Represents a message about claims between gateways and control hosts. Immutable and thread safe.
 */
public sealed interface IdempotencyMessage {

  /** Asks a control host to commit a change. */
  record ChangeRequest(ClaimChange change) implements IdempotencyMessage {}

  /** Answers a change that was committed. */
  record ChangeReply(ClaimId id, ClaimAnswer answer) implements IdempotencyMessage {}

  /**
   * Reports that the sender is a control host, and which host is the leader.
   *
   * @param leader the leader, to which changes should be sent; empty if the sender knows none
   */
  record LeaderUpdate(Optional<HostId> leader) implements IdempotencyMessage {}
}
