package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminwell.core.model.HostId;

/** Represents a replica's current Raft role. Not thread safe: its replica owns it. */
sealed interface Role {

  /** Represents the role of a replica that follows a leader, if one is known. */
  record Follower(Optional<HostId> leader) implements Role {}

  /**
   * Represents the role of a replica that asks for votes.
   *
   * @param preVote whether it only asks who would vote for it, which changes no term
   * @param votesFrom the hosts that have granted their vote, including this one
   * @param startedAt when the replica asked for votes
   */
  record Candidate(boolean preVote, Set<HostId> votesFrom, Instant startedAt) implements Role {
    static Candidate starting(boolean preVote, HostId self, Instant now) {
      Set<HostId> votesFrom = new TreeSet<>();
      votesFrom.add(self);
      return new Candidate(preVote, votesFrom, now);
    }
  }

  /**
   * Represents the role of a replica that leads.
   *
   * @param followers the progress of every other replica, including those whose acknowledgements do
   *     not count towards a quorum
   * @param electionStartedAt when it asked for the votes that elected it; its lease counts from
   *     this time, or from the send time of the latest message that a quorum has acknowledged if
   *     that is later
   */
  record Leader(SortedMap<HostId, FollowerProgress> followers, Instant electionStartedAt)
      implements Role {

    static Leader of(Set<HostId> followers, long nextIndex, Instant electionStartedAt) {
      SortedMap<HostId, FollowerProgress> progress = new TreeMap<>();
      followers.forEach(host -> progress.put(host, new FollowerProgress(nextIndex)));
      return new Leader(progress, electionStartedAt);
    }

    /**
     * Returns the highest index that is durable on a quorum of voters, this host included; 0 if
     * there are too few voters for a quorum.
     *
     * @param durableIndex the highest index that is durable on this host
     */
    long quorumMatchIndex(long durableIndex, int quorum) {
      List<Long> matches = new ArrayList<>();
      matches.add(durableIndex);
      voters().forEach(progress -> matches.add(progress.matchIndex));
      matches.sort(Comparator.reverseOrder());
      return matches.size() < quorum ? 0 : matches.get(quorum - 1);
    }

    /**
     * Returns the send time of the latest message acknowledged by a quorum, this host included, but
     * no earlier than the start of the election.
     *
     * @param now the time up to which this host counts as having acknowledged its own messages
     */
    Instant lastQuorumAcknowledgedSendTime(Instant now, int quorum) {
      List<Instant> times = new ArrayList<>();
      times.add(now);
      voters().forEach(progress -> times.add(progress.acknowledgedSentAt));
      times.sort(Comparator.reverseOrder());
      Instant sentAt = times.size() < quorum ? electionStartedAt : times.get(quorum - 1);
      return sentAt.isAfter(electionStartedAt) ? sentAt : electionStartedAt;
    }

    private List<FollowerProgress> voters() {
      return followers.values().stream().filter(progress -> progress.isVoter).toList();
    }
  }
}
