package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.consensus.ConsensusMessage;
import org.cuminwell.core.model.RequestId;

/** Represents a message between control hosts. Immutable and thread safe. */
public sealed interface StateMachineMessage {

  /** Wraps a message of the consensus protocol. */
  record Replication(ConsensusMessage<Command, StateSnapshot> message)
      implements StateMachineMessage {}

  /** Asks the leader to append a command to the log. */
  record Forward(RequestId id, Command command) implements StateMachineMessage {}

  /**
   * Reports the index and term at which a forwarded command was appended. The command is not
   * committed yet; the receiver learns the outcome from its own copy of the log.
   */
  record ProposalAppended(RequestId id, long index, long term) implements StateMachineMessage {}

  /** Reports that a forwarded command was not appended because the receiver does not lead. */
  record ProposalRejected(RequestId id) implements StateMachineMessage {}

  /**
   * Asks the leader for its read index.
   *
   * @param askedAt the requester's clock when it sent the request, returned in the reply
   */
  record ReadIndexRequest(Instant askedAt) implements StateMachineMessage {}

  /**
   * Answers a read index request with an index that covers everything committed before the request
   * was sent.
   *
   * @param askedAt the value of the request
   */
  record ReadIndexReply(Instant askedAt, long index) implements StateMachineMessage {}
}
