package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.consensus.ConsensusMessage;
import org.cuminwell.core.model.RequestId;

/** Is a message between control hosts. Immutable and thread safe. */
public sealed interface AgreementMessage {

  /** Carries what the replicas say to each other. */
  record Replication(ConsensusMessage<Command, StateSnapshot> message)
      implements AgreementMessage {}

  /** Asks the leader to give a command its place in the log. */
  record Forward(RequestId id, Command command) implements AgreementMessage {}

  /**
   * Tells where a forwarded command was put. It is not committed yet; the receiver sees in its own
   * copy of the log what becomes of it.
   */
  record Placed(RequestId id, long index, long term) implements AgreementMessage {}

  /** Tells that a forwarded command got no place, since the receiver does not lead. */
  record NotPlaced(RequestId id) implements AgreementMessage {}

  /**
   * Asks the leader up to where the log is committed.
   *
   * @param askedAt the asker's time, returned with the answer
   */
  record AskCommitted(Instant askedAt) implements AgreementMessage {}

  /**
   * Tells an index that covers all that was committed before the question was asked.
   *
   * @param askedAt the asker's time of the question
   */
  record Committed(Instant askedAt, long index) implements AgreementMessage {}
}
