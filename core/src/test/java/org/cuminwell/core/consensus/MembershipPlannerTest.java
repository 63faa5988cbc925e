package org.cuminwell.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.MembershipPlanner.Observation;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which voters follow. A member is written as the name of its host and its incarnation. */
final class MembershipPlannerTest {

  @ParameterizedTest(name = "voters {0}; ready {1}, settled {2}; silent {3}, {4}, {5}: then {6}")
  @CsvSource({
    // Nothing to do.
    "a1 b1 c1, , , , , , same",
    "a1 b1 c1, , , c1, c1, c1, same",
    // A lost disk, also while another voter is silent.
    "a1 b1 c1, b2, , , , , a1 b2 c1",
    "a1 b1 c1, b2, , a1, , , a1 b2 c1",
    // A successor takes the place of the voter that has been silent for longest.
    "a1 b1 c1, d1, , c1, , , a1 b1 d1",
    "a1 b1 c1 d1 e1, f1, , d1 a1, , , a1 b1 c1 e1 f1",
    // A new machine waits until it would be known whose place it takes.
    "a1 b1 c1, d1, , , , , same",
    "a1 b1 c1, d1, d1, , , , a1 b1 c1 d1",
    "a1 b1 c1 d1 e1 f1 g1 h1, i1, i1, , , , a1 b1 c1 d1 e1 f1 g1 h1 i1",
    "a1 b1 c1 d1 e1 f1 g1 h1 i1, j1, j1, , , , same",
    // One of an even number, or two of an odd one, and never to fewer than three.
    "a1 b1 c1 d1, , , d1, , , same",
    "a1 b1 c1 d1, , , d1, d1, , a1 b1 c1",
    "a1 b1 c1 d1 e1, , , e1, e1, e1, same",
    "a1 b1 c1 d1 e1, , , d1 e1, d1 e1, , same",
    "a1 b1 c1 d1 e1, , , d1 e1, d1 e1, d1 e1, a1 b1 c1",
    "a1 b1 c1, , , b1 c1, b1 c1, b1 c1, same",
  })
  void votersThatFollow(
      String voters,
      @Nullable String ready,
      @Nullable String settled,
      @Nullable String replaceable,
      @Nullable String droppable,
      @Nullable String gone,
      String expected) {
    Optional<Set<Member>> next =
        MembershipPlanner.nextVoters(
            new TreeSet<>(members(voters)),
            new Observation(
                Set.copyOf(members(ready)),
                Set.copyOf(members(settled)),
                members(replaceable),
                members(droppable),
                members(gone)));
    assertThat(next)
        .isEqualTo(
            expected.equals("same")
                ? Optional.empty()
                : Optional.of(new TreeSet<>(members(expected))));
  }

  private static List<Member> members(@Nullable String names) {
    return names == null
        ? List.of()
        : Arrays.stream(names.split(" ", -1))
            .map(MembershipPlannerTest::member)
            .collect(Collectors.toList());
  }

  private static Member member(String name) {
    HostId host = new HostId(name.substring(0, 1));
    long incarnation = Long.parseLong(name.substring(1));
    return new Member(host, new HostAddress(host.value(), 7600), incarnation);
  }
}
