package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.List;

/** Represents a message between replicas. Immutable and thread safe. */
public sealed interface ConsensusMessage<C, S> {

  /** Returns the sender's term, or the term that a vote is about. */
  long term();

  /**
   * Asks for a vote.
   *
   * @param preVote whether only willingness to vote is asked for, which changes no state
   * @param founding whether the sender is founding a new cluster
   * @param lastLogIndex the index of the last entry in the sender's log
   * @param lastLogTerm the term of that entry
   */
  record VoteRequest<C, S>(
      long term, boolean preVote, boolean founding, long lastLogIndex, long lastLogTerm)
      implements ConsensusMessage<C, S> {}

  /**
   * Answers a vote request. The term is the request's if the vote is granted, else the replier's.
   *
   * @param voter the sender with the disk on which the vote is recorded
   */
  record VoteReply<C, S>(long term, boolean preVote, boolean granted, Member voter)
      implements ConsensusMessage<C, S> {}

  /**
   * Replicates entries; without entries it serves as a heartbeat.
   *
   * @param acknowledgedIndex the last index that the receiver has acknowledged to this leader; if
   *     the receiver's log is shorter, its disk holds an older state
   * @param sentAt the leader's clock, echoed in the reply
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
   * @param index if {@code matched}, the last index that matches the leader's log and is durable at
   *     the sender; otherwise the index after which the leader should retry
   * @param incarnation the incarnation of the sender's disk
   */
  record AppendReply<C, S>(long term, boolean matched, long index, long incarnation, Instant sentAt)
      implements ConsensusMessage<C, S> {}

  /** Sends the state to a host that needs entries which the leader's log no longer holds. */
  record InstallSnapshot<C, S>(long term, Snapshot<S> snapshot, Instant sentAt)
      implements ConsensusMessage<C, S> {}

  /** Asks the leader to send the log to the sender and to make it a voter. */
  record JoinRequest<C, S>(long term, Member member) implements ConsensusMessage<C, S> {}
}
