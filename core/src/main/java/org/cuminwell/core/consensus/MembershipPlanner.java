package org.cuminwell.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Decides which voters should follow the present ones, one change at a time.
 *
 * <p>A change never lowers the number of losses that the voters bear beyond those that are silent.
 * Stateless and thread safe.
 */
final class MembershipPlanner {

  /** The maximum number of voters that a new member is added to. */
  static final int MAX_VOTERS = 9;

  /** The minimum number of voters from which two are dropped together. */
  private static final int MIN_VOTERS_TO_DROP_TWO = 5;

  /**
   * Describes what a leader hears of the other hosts. Immutable and thread safe.
   *
   * @param ready the learners that hold everything that is committed
   * @param settled those of them that may be added without a voter whose place they take
   * @param replaceable the voters that have been silent for long enough to give way to a learner,
   *     the longest silent first
   * @param droppable those whose silence is long enough to drop one of an even number
   * @param gone those whose silence is long enough to drop two
   */
  record Observation(
      Set<Member> ready,
      Set<Member> settled,
      List<Member> replaceable,
      List<Member> droppable,
      List<Member> gone) {
    /** Copies the collections. */
    Observation {
      ready = Set.copyOf(ready);
      settled = Set.copyOf(settled);
      replaceable = List.copyOf(replaceable);
      droppable = List.copyOf(droppable);
      gone = List.copyOf(gone);
    }
  }

  private MembershipPlanner() {}

  /**
   * Returns the voters that should follow; empty if the present ones should stay.
   *
   * @param voters the present voters, with no change under way
   */
  static Optional<Set<Member>> nextVoters(SortedSet<Member> voters, Observation observed) {
    return observed.ready().stream()
        .sorted()
        .map(learner -> withLearner(voters, learner, observed))
        .flatMap(Optional::stream)
        .findFirst()
        .or(() -> withoutSilent(voters, observed));
  }

  private static Optional<Set<Member>> withLearner(
      Set<Member> voters, Member learner, Observation observed) {
    Optional<Member> predecessor =
        voters.stream()
            .filter(voter -> voter.host().equals(learner.host()))
            .findFirst()
            .or(() -> observed.replaceable().stream().findFirst());
    boolean mayBeAdded = observed.settled().contains(learner) && voters.size() < MAX_VOTERS;
    if (predecessor.isEmpty() && !mayBeAdded) {
      return Optional.empty();
    }
    Set<Member> next = new TreeSet<>(voters);
    predecessor.ifPresent(next::remove);
    next.add(learner);
    return Optional.of(next);
  }

  /** Drops one of an even number of voters, or two of an odd one. */
  private static Optional<Set<Member>> withoutSilent(Set<Member> voters, Observation observed) {
    boolean isEven = voters.size() % 2 == 0;
    int count = isEven ? 1 : 2;
    List<Member> silent = isEven ? observed.droppable() : observed.gone();
    List<Member> dropped = silent.stream().limit(count).toList();
    if (dropped.size() < count || (!isEven && voters.size() < MIN_VOTERS_TO_DROP_TWO)) {
      return Optional.empty();
    }
    Set<Member> next = new TreeSet<>(voters);
    next.removeAll(dropped);
    return Optional.of(next);
  }
}
