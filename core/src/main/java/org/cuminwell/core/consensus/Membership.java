package org.cuminwell.core.consensus;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostId;

/**
 * Holds who votes. While the voters change, decisions need a majority of the present and of the
 * next ones (joint consensus).
 *
 * <p>Invariant: there are voters if there are next voters. Immutable and thread safe.
 *
 * @param voters the present voters; empty before the first leader was elected
 * @param nextVoters the voters after the change that is under way; empty if there is none
 */
public record Membership(SortedSet<Member> voters, SortedSet<Member> nextVoters) {

  /** The membership before the first leader was elected: nobody is known to vote. */
  public static final Membership NONE = new Membership(new TreeSet<>(), new TreeSet<>());

  /** Copies the sets and checks the invariant. */
  public Membership {
    voters = Collections.unmodifiableSortedSet(new TreeSet<>(voters));
    nextVoters = Collections.unmodifiableSortedSet(new TreeSet<>(nextVoters));
    if (voters.isEmpty() && !nextVoters.isEmpty()) {
      throw new IllegalArgumentException("there are next voters without present ones");
    }
  }

  /** Returns the membership of these voters, with no change under way. */
  public static Membership of(Set<Member> voters) {
    return new Membership(new TreeSet<>(voters), new TreeSet<>());
  }

  /** Returns whether a change is under way. */
  public boolean isChanging() {
    return !nextVoters.isEmpty();
  }

  /** Returns this membership with a change to {@code next} under way. */
  Membership changingTo(Set<Member> next) {
    return new Membership(voters, new TreeSet<>(next));
  }

  /** Returns the membership after the change that is under way. */
  Membership changed() {
    return of(nextVoters);
  }

  /** Returns the present and the next voters. */
  public SortedSet<Member> members() {
    TreeSet<Member> all = new TreeSet<>(voters);
    all.addAll(nextVoters);
    return all;
  }

  /** Returns whether the host votes, with its disk of that incarnation. */
  public boolean contains(HostId host, long incarnation) {
    return members().stream().anyMatch(member -> member.is(host, incarnation));
  }

  /** Returns the member at the host; that of the next voters if both have one. */
  Optional<Member> memberAt(HostId host) {
    return Stream.concat(nextVoters.stream(), voters.stream())
        .filter(member -> member.host().equals(host))
        .findFirst();
  }

  /** Returns how many voters may be lost for good at once while the others can still decide. */
  public int lossesBorne() {
    int present = (voters.size() - 1) / 2;
    return isChanging() ? Math.min(present, (nextVoters.size() - 1) / 2) : present;
  }

  /** Returns whether the members that agree are enough for a decision. */
  boolean isQuorum(Predicate<Member> agrees) {
    return isMajority(voters, agrees) && (!isChanging() || isMajority(nextVoters, agrees));
  }

  /**
   * Returns the highest value that a quorum has reached. Empty if nobody votes.
   *
   * @param valueOf the value that a member has reached
   */
  <T extends Comparable<T>> Optional<T> reachedByQuorum(Function<Member, T> valueOf) {
    if (voters.isEmpty()) {
      return Optional.empty();
    }
    T present = reachedByMajority(voters, valueOf);
    if (!isChanging()) {
      return Optional.of(present);
    }
    T next = reachedByMajority(nextVoters, valueOf);
    return Optional.of(present.compareTo(next) <= 0 ? present : next);
  }

  private static boolean isMajority(Set<Member> members, Predicate<Member> agrees) {
    return members.stream().filter(agrees).count() >= majorityOf(members);
  }

  private static <T extends Comparable<T>> T reachedByMajority(
      Set<Member> members, Function<Member, T> valueOf) {
    List<T> values = members.stream().map(valueOf).sorted(Comparator.reverseOrder()).toList();
    return values.get(majorityOf(members) - 1);
  }

  private static int majorityOf(Set<Member> members) {
    return members.size() / 2 + 1;
  }
}
