package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.OptionalLong;

/**
 * Tracks a leader's view of one follower. Not thread safe: one thread owns it.
 *
 * <p>Invariant: {@code matchIndex} never decreases.
 */
final class FollowerProgress {

  /** The highest index that the follower has acknowledged as durable. */
  long matchIndex;

  /** The index of the next entry to send. */
  long nextIndex;

  /** The index up to which entries are not in flight, because they were never sent. */
  private long notSentUpTo;

  /** Whether the follower's acknowledgements count towards a quorum. */
  boolean isVoter;

  /** The latest incarnation under which the follower was a learner. */
  private OptionalLong learnerIncarnation = OptionalLong.empty();

  /** The leader's last index when that incarnation was first seen. */
  private long learnerSeenAtIndex;

  /** The send time of the latest request that the follower has acknowledged. */
  Instant acknowledgedSentAt = Instant.MIN;

  /** The earliest time at which another snapshot may be sent. */
  Instant nextSnapshotAt = Instant.MIN;

  /** The index of the latest entry that admits the follower; 0 if there is none. */
  long admitIndex;

  FollowerProgress(long next) {
    this.nextIndex = next;
    this.notSentUpTo = next - 1;
  }

  /** Updates the progress from a reply. {@code lastIndex} is the last index of the leader's log. */
  void onReply(ConsensusMessage.AppendReply<?, ?> reply, long lastIndex) {
    updateVoting(reply, lastIndex);
    if (reply.sentAt().isAfter(acknowledgedSentAt)) {
      acknowledgedSentAt = reply.sentAt();
    }
    if (reply.matched()) {
      matchIndex = Math.max(matchIndex, reply.index());
      nextIndex = Math.max(nextIndex, matchIndex + 1);
    } else {
      nextIndex = Math.min(nextIndex, reply.index() + 1);
      notSentUpTo = Math.min(notSentUpTo, nextIndex - 1);
    }
  }

  /** Returns the index after which entries were sent and are not yet acknowledged. */
  long inFlightAfter() {
    return Math.max(matchIndex, notSentUpTo);
  }

  /** Stops counting a follower that is a learner, since its disk was empty. */
  void markLearner(OptionalLong incarnation, long lastIndex) {
    isVoter = false;
    if (!learnerIncarnation.equals(incarnation)) {
      learnerIncarnation = incarnation;
      learnerSeenAtIndex = lastIndex;
    }
  }

  /**
   * Updates whether the follower votes. A delayed reply from before the follower lost its disk
   * still claims that it votes; such a reply cannot acknowledge an entry made after the follower
   * was first seen as a learner.
   */
  private void updateVoting(ConsensusMessage.AppendReply<?, ?> reply, long lastIndex) {
    if (reply.learnerIncarnation().isPresent()) {
      markLearner(reply.learnerIncarnation(), lastIndex);
    } else if (learnerIncarnation.isEmpty()
        || (reply.matched() && reply.index() > learnerSeenAtIndex)) {
      isVoter = true;
    }
  }
}
