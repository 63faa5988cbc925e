package org.cuminwell.core.peer;

import org.cuminwell.core.control.StateMachineMessage;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.limit.LimitMessage;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.rollout.RolloutMessage;

/** Is one message between two processes of the system, by subject. Immutable and thread safe. */
public sealed interface PeerMessage {

  /** Concerns the configuration. */
  record Distribution(DistributionMessage message) implements PeerMessage {}

  /** Concerns the entry hosts. */
  record Directory(DirectoryMessage message) implements PeerMessage {}

  /** Concerns calls that must not run twice. */
  record Idempotency(IdempotencyMessage message) implements PeerMessage {}

  /** Concerns version rollouts. */
  record Rollouts(RolloutMessage message) implements PeerMessage {}

  /** Concerns the agreement of the control hosts. */
  record Consensus(StateMachineMessage message) implements PeerMessage {}

  /** Concerns shares of customers' limits. */
  record Limits(LimitMessage message) implements PeerMessage {}

  /** Concerns the endpoints of a data centre. */
  record Membership(MembershipMessage message) implements PeerMessage {}
}
