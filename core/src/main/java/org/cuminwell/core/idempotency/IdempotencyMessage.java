package org.cuminwell.core.idempotency;

import java.util.Optional;
import org.cuminwell.core.model.HostId;

/** Carries claims between gateways and control hosts. Immutable and thread safe. */
public sealed interface IdempotencyMessage {

  /** Asks a control host to put a change into the log. */
  record ChangeRequest(ClaimChange change) implements IdempotencyMessage {}

  /** Answers a change that is in the log. */
  record ChangeReply(ClaimId id, ClaimAnswer answer) implements IdempotencyMessage {}

  /**
   * Tells that the sender is a control host, and which one takes changes now.
   *
   * @param leader empty while there is none, as far as the sender knows
   */
  record LeaderUpdate(Optional<HostId> leader) implements IdempotencyMessage {}
}
