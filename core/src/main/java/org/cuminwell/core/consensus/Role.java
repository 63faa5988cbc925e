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
   * @param granted the hosts that have granted their vote, including this one
   * @param startedAt when the replica asked for votes
   */
  record Candidate(boolean preVote, Set<HostId> granted, Instant startedAt) implements Role {
    static Candidate starting(boolean preVote, HostId self, Instant now) {
      Set<HostId> granted = new TreeSet<>();
      granted.add(self);
      return new Candidate(preVote, granted, now);
    }
  }

  /**
   * Represents the role of a replica that leads.
   *
   * @param electionStartedAt when it asked for the votes that elected it; its lease counts from
   *     then until a quorum acknowledges a message
   */
  record Leader(SortedMap<HostId, FollowerProgress> followers, Instant electionStartedAt)
      implements Role {

    static Leader of(Set<HostId> followers, long nextIndex, Instant electionStartedAt) {
      SortedMap<HostId, FollowerProgress> progress = new TreeMap<>();
      followers.forEach(host -> progress.put(host, new FollowerProgress(nextIndex)));
      return new Leader(progress, electionStartedAt);
    }

    /** Returns the highest index that is durable on a quorum of voters, this host included. */
    long quorumMatchIndex(long ownIndex, int quorum) {
      List<Long> matches = new ArrayList<>();
      matches.add(ownIndex);
      voters().forEach(progress -> matches.add(progress.matchIndex));
      matches.sort(Comparator.reverseOrder());
      return matches.size() < quorum ? 0 : matches.get(quorum - 1);
    }

    /**
     * Returns the send time of the latest message acknowledged by a quorum, but no earlier than the
     * start of the election.
     */
    Instant quorumAcknowledgedSentAt(Instant now, int quorum) {
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
