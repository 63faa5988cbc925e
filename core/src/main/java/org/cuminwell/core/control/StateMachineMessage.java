package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.consensus.ConsensusMessage;
import org.cuminwell.core.model.RequestId;

/** Is a message between control hosts. Immutable and thread safe. */
public sealed interface StateMachineMessage {

  /** Carries what the replicas say to each other. */
  record Replication(ConsensusMessage<Command, StateSnapshot> message)
      implements StateMachineMessage {}

  /** Asks the leader to give a command its place in the log. */
  record Forward(RequestId id, Command command) implements StateMachineMessage {}

  /**
   * Tells where a forwarded command was put. It is not committed yet; the receiver sees in its own
   * copy of the log what becomes of it.
   */
  record ProposalAppended(RequestId id, long index, long term) implements StateMachineMessage {}

  /** Tells that a forwarded command got no place, since the receiver does not lead. */
  record ProposalRejected(RequestId id) implements StateMachineMessage {}

  /**
   * Asks the leader up to where the log is committed.
   *
   * @param askedAt the asker's time, returned with the answer
   */
  record ReadIndexRequest(Instant askedAt) implements StateMachineMessage {}

  /**
   * Tells an index that covers all that was committed before the question was asked.
   *
   * @param askedAt the asker's time of the question
   */
  record ReadIndexReply(Instant askedAt, long index) implements StateMachineMessage {}
}
