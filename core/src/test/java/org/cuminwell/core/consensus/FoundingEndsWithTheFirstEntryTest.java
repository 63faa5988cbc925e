package org.cuminwell.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.InstallSnapshot;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a founder that stops founding when it hears the first leader, though it holds none
 * of its entries: if that leader's disk held none either after a crash, no host ever led.
 */
final class FoundingEndsWithTheFirstEntryTest {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final HostId LEADER = new HostId("c0");
  private static final HostId SELF = new HostId("c1");
  private static final long TERM = 1;
  private static final Membership MEMBERSHIP = Membership.of(Set.of(member(LEADER), member(SELF)));
  private static final LogEntry<String> FIRST =
      new LogEntry<>(1, TERM, START, new EntryContent.ChangeMembership<>(MEMBERSHIP));

  static Stream<Arguments> messages() {
    return Stream.of(
        arguments("a heartbeat of an empty log", append(0, 0, List.of()), true),
        arguments("a heartbeat after an entry that is missing", append(1, TERM, List.of()), true),
        arguments("the first entry", append(0, 0, List.of(FIRST)), false),
        arguments(
            "a snapshot",
            new InstallSnapshot<String, String>(
                TERM, new Snapshot<>(1, TERM, START, MEMBERSHIP, ""), START),
            false));
  }

  @ParameterizedTest(name = "{0}: founds on {2}")
  @MethodSource("messages")
  void founderGoesOnUntilItsLogTellsWhoVotes(
      String name, ConsensusMessage<String, String> message, boolean founds) {
    Replica<String, String> replica =
        new Replica<>(
            SELF,
            member(SELF).address(),
            DurableState.empty(HardState.founding(new Founding(Set.of(LEADER, SELF), Set.of()), 7)),
            command -> 1,
            new SplittableRandom(1),
            START);
    var _ = replica.handle(new ReplicaEvent.MessageReceived<>(LEADER, message), START);
    assertThat(replica.votingStatus() instanceof VotingStatus.Founding).as(name).isEqualTo(founds);
  }

  private static AppendRequest<String, String> append(
      long previousIndex, long previousTerm, List<LogEntry<String>> entries) {
    return new AppendRequest<>(TERM, previousIndex, previousTerm, entries, 0, 0, START);
  }

  private static Member member(HostId host) {
    return new Member(host, new HostAddress(host.value(), 7600), 7);
  }
}
