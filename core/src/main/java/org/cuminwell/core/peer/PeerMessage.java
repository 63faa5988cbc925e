package org.cuminwell.core.peer;

import org.cuminwell.core.control.StateMachineMessage;
import org.cuminwell.core.crash.CrashUpdate;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.limit.LimitMessage;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.rollout.RolloutMessage;

/** Wraps a message between two processes of the system, by subject. Immutable and thread safe. */
public sealed interface PeerMessage {

  /** Carries revisions of the configuration. */
  record Distribution(DistributionMessage message) implements PeerMessage {}

  /** Carries descriptions of entry hosts. */
  record Directory(DirectoryMessage message) implements PeerMessage {}

  /** Carries claims of requests that must not run twice. */
  record Idempotency(IdempotencyMessage message) implements PeerMessage {}

  /** Carries the steps and reports of rollouts. */
  record Rollouts(RolloutMessage message) implements PeerMessage {}

  /** Carries the consensus protocol of the control hosts. */
  record Consensus(StateMachineMessage message) implements PeerMessage {}

  /** Carries shares of customers' limits. */
  record Limits(LimitMessage message) implements PeerMessage {}

  /** Carries announcements of endpoints. */
  record Membership(MembershipMessage message) implements PeerMessage {}

  /** Carries evidence on which requests crash endpoints. */
  record Crashes(CrashUpdate update) implements PeerMessage {}

  /** Carries counts for usage reports. */
  record Usage(UsageMessage message) implements PeerMessage {}
}
