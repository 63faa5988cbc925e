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

/** Is the part that a replica plays now. Not thread safe: its replica owns it. */
sealed interface Role {

  /** Follows a leader, if one is known. */
  record Follower(Optional<HostId> leader) implements Role {}

  /**
   * Asks for votes.
   *
   * @param granted who has granted so far, this host among them
   * @param since when it began to ask
   */
  record Candidate(boolean preVote, Set<HostId> granted, Instant since) implements Role {
    static Candidate starting(boolean preVote, HostId self, Instant now) {
      Set<HostId> granted = new TreeSet<>();
      granted.add(self);
      return new Candidate(preVote, granted, now);
    }
  }

  /**
   * Leads.
   *
   * @param since when it asked for the votes that elected it
   */
  record Leader(SortedMap<HostId, Progress> followers, Instant since) implements Role {

    static Leader of(Set<HostId> followers, long nextIndex, Instant since) {
      SortedMap<HostId, Progress> progress = new TreeMap<>();
      followers.forEach(host -> progress.put(host, new Progress(nextIndex)));
      return new Leader(progress, since);
    }

    /** Returns the index that this host and enough followers for a quorum have durably. */
    long quorumIndex(long own, int quorum) {
      List<Long> matches = new ArrayList<>();
      matches.add(own);
      voters().forEach(progress -> matches.add(progress.match));
      matches.sort(Comparator.reverseOrder());
      return matches.size() < quorum ? 0 : matches.get(quorum - 1);
    }

    /** Returns when the latest message was sent that a quorum has acknowledged. */
    Instant quorumContact(Instant now, int quorum) {
      List<Instant> times = new ArrayList<>();
      times.add(now);
      voters().forEach(progress -> times.add(progress.acknowledged));
      times.sort(Comparator.reverseOrder());
      Instant contact = times.size() < quorum ? since : times.get(quorum - 1);
      return contact.isAfter(since) ? contact : since;
    }

    private List<Progress> voters() {
      return followers.values().stream().filter(progress -> progress.voter).toList();
    }
  }
}
