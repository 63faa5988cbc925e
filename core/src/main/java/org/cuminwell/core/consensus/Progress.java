package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.OptionalLong;

/**
 * Holds what a leader knows of one follower. Not thread safe: one thread owns it.
 *
 * <p>Invariant: {@code match} never goes down.
 */
final class Progress {

  /** The last index that the follower has acknowledged as durable. */
  long match;

  /** The next index to send. */
  long next;

  /** Whether the follower's acknowledgements count. */
  boolean voter;

  /** The incarnation under which the follower was a learner last. */
  private OptionalLong learner = OptionalLong.empty();

  /** The last index when that incarnation was first heard. */
  private long learnerFloor;

  /** When the latest request that the follower has acknowledged was sent. */
  Instant acknowledged = Instant.MIN;

  /** The time before which no other snapshot is sent. */
  Instant snapshotAt = Instant.MIN;

  /** The entry that would admit the follower, 0 if none was made. */
  long admitIndex;

  Progress(long next) {
    this.next = next;
  }

  /** Learns from a reply; {@code lastIndex} is the leader's. */
  void hear(ConsensusMessage.AppendReply<?, ?> reply, long lastIndex) {
    learn(reply, lastIndex);
    if (reply.sentAt().isAfter(acknowledged)) {
      acknowledged = reply.sentAt();
    }
    if (reply.matched()) {
      match = Math.max(match, reply.index());
      next = Math.max(next, match + 1);
    } else {
      next = Math.min(next, reply.index() + 1);
    }
  }

  /** Stops counting a follower that has come with an empty disk. */
  void joins(OptionalLong incarnation, long lastIndex) {
    voter = false;
    if (!learner.equals(incarnation)) {
      learner = incarnation;
      learnerFloor = lastIndex;
    }
  }

  /**
   * A late reply from before the follower lost its disk still says that it votes, but it can't
   * speak of an entry that was made after the follower was heard as a learner.
   */
  private void learn(ConsensusMessage.AppendReply<?, ?> reply, long lastIndex) {
    if (reply.learnerIncarnation().isPresent()) {
      joins(reply.learnerIncarnation(), lastIndex);
    } else if (learner.isEmpty() || (reply.matched() && reply.index() > learnerFloor)) {
      voter = true;
    }
  }
}
