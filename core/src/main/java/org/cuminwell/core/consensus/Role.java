package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cuminwell.core.model.HostId;

/** Represents a replica's current Raft role. Not thread safe: its replica owns it. */
sealed interface Role {

  /** Represents the role of a replica that follows a leader, if one is known. */
  record Follower(Optional<HostId> leader) implements Role {}

  /**
   * Represents the role of a replica that asks for votes.
   *
   * @param preVote whether it only asks who would vote for it, which changes no term
   * @param votesFrom the members that have granted their vote, including this one
   * @param startedAt when the replica asked for votes
   */
  record Candidate(boolean preVote, Map<HostId, Member> votesFrom, Instant startedAt)
      implements Role {
    static Candidate starting(boolean preVote, Member self, Instant now) {
      Map<HostId, Member> votesFrom = new TreeMap<>();
      votesFrom.put(self.host(), self);
      return new Candidate(preVote, votesFrom, now);
    }

    boolean hasVoteOf(Member member) {
      Member voter = votesFrom.get(member.host());
      return voter != null && voter.is(member.host(), member.incarnation());
    }
  }

  /**
   * Represents the role of a replica that leads.
   *
   * @param followers the progress of every other host that receives the log, learners included
   * @param electionStartedAt when it asked for the votes that elected it; its lease counts from
   *     this time, or from the send time of the latest message that a quorum has acknowledged if
   *     that is later
   */
  record Leader(SortedMap<HostId, FollowerProgress> followers, Instant electionStartedAt)
      implements Role {

    /** Returns the progress of a member; empty if its disk is lost or nothing is sent to it. */
    Optional<FollowerProgress> progressOf(Member member) {
      return Optional.ofNullable(followers.get(member.host()))
          .filter(progress -> progress.is(member));
    }
  }
}
