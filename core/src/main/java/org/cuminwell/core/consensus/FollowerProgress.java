package org.cuminwell.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks a leader's view of one follower. Not thread safe: one thread owns it.
 *
 * <p>Invariant: {@code matchIndex} is about the disk of one incarnation, for which it never
 * decreases.
 */
final class FollowerProgress {

  /** The highest index that the follower has acknowledged as durable. */
  long matchIndex;

  /** The index of the next entry to send. */
  long nextIndex;

  /** The index up to which entries are not in flight, because they were never sent. */
  private long notSentUpTo;

  /** The incarnation of the follower's disk. */
  private long incarnation;

  /** The member that last asked to join at this host. */
  private Optional<Member> joining = Optional.empty();

  /** The send time of the latest request that the follower has acknowledged. */
  Instant acknowledgedSentAt = Instant.MIN;

  /** The earliest time at which another snapshot may be sent. */
  Instant nextSnapshotAt = Instant.MIN;

  /** When the member asked to join for the first time. */
  private Instant joiningSince = Instant.MAX;

  /** When the follower was last heard, or when this leader began to send to it. */
  private Instant heardAt;

  FollowerProgress(long next, long incarnation, Instant now) {
    this.nextIndex = next;
    this.notSentUpTo = next - 1;
    this.incarnation = incarnation;
    this.heardAt = now;
  }

  /**
   * Updates the progress from a reply. The reply of another incarnation counts only if it answers a
   * later request than any before it; a delayed one of a lost disk doesn't.
   */
  void onReply(ConsensusMessage.AppendReply<?, ?> reply, Instant now) {
    if (reply.incarnation() != incarnation) {
      if (!reply.sentAt().isAfter(acknowledgedSentAt)) {
        return;
      }
      incarnation = reply.incarnation();
      matchIndex = 0;
    }
    heardAt = now;
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

  /** Records that the member asks to join. */
  void onJoinRequest(Member member, Instant now) {
    if (!joining.equals(Optional.of(member))) {
      joining = Optional.of(member);
      joiningSince = now;
    }
    heardAt = now;
  }

  /** Returns the index after which entries were sent and are not yet acknowledged. */
  long inFlightAfter() {
    return Math.max(matchIndex, notSentUpTo);
  }

  /** Returns whether the follower is the member, with its disk. */
  boolean is(Member member) {
    return member.incarnation() == incarnation;
  }

  /** Returns when the follower was last heard, or when this leader began to send to it. */
  Instant heardAt() {
    return heardAt;
  }

  /** Returns whether nothing was heard of the follower for that long. */
  boolean isSilentFor(Duration time, Instant now) {
    return !now.isBefore(heardAt.plus(time));
  }

  /** Returns whether the member has been asking to join for that long. */
  boolean hasBeenJoiningFor(Duration time, Instant now) {
    return joining.isPresent() && !now.isBefore(joiningSince.plus(time));
  }

  /** Returns the member that asks to join, if it is the follower and has acknowledged the index. */
  Optional<Member> joiningWith(long index) {
    return joining.filter(member -> is(member) && matchIndex >= index);
  }
}
