package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;

/** Is a message between replicas. Immutable and thread safe. */
public sealed interface ConsensusMessage<C, S> {

  /** Returns the term that the message speaks for. */
  long term();

  /**
   * Asks for a vote.
   *
   * @param preVote whether only a readiness to vote is asked for, which changes nothing
   * @param founding whether the sender founds a new cluster
   */
  record VoteRequest<C, S>(
      long term, boolean preVote, boolean founding, long lastLogIndex, long lastLogTerm)
      implements ConsensusMessage<C, S> {}

  /** Answers a vote request; the term is the request's if granted, else the answerer's. */
  record VoteReply<C, S>(long term, boolean preVote, boolean granted)
      implements ConsensusMessage<C, S> {}

  /**
   * Brings entries and shows that the leader lives.
   *
   * @param acknowledgedIndex the last index that the receiver has acknowledged to this leader; if
   *     its log is shorter, its disk is an older one
   * @param sentAt the leader's time, echoed by the reply
   */
  record AppendRequest<C, S>(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry<C>> entries,
      long commitIndex,
      long acknowledgedIndex,
      Instant sentAt)
      implements ConsensusMessage<C, S> {
    /** Copies the list. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers an append request or a snapshot.
   *
   * @param index the last durable index that matches if {@code matched}, else where to try next
   * @param learnerIncarnation the incarnation of a learner, whose acknowledgement doesn't count;
   *     empty for a voter
   */
  record AppendReply<C, S>(
      long term, boolean matched, long index, OptionalLong learnerIncarnation, Instant sentAt)
      implements ConsensusMessage<C, S> {}

  /** Brings the state to a host that is too far behind for entries. */
  record InstallSnapshot<C, S>(long term, Snapshot<S> snapshot, Instant sentAt)
      implements ConsensusMessage<C, S> {}

  /** Asks the leader to let the sender vote. */
  record JoinRequest<C, S>(long term, long incarnation) implements ConsensusMessage<C, S> {}
}
