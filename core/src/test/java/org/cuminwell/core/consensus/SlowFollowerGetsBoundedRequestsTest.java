package org.cuminwell.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.consensus.ConsensusMessage.AppendRequest;
import org.cuminwell.core.consensus.ConsensusMessage.VoteRequest;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests to a follower that are bounded by their number of entries but not by
 * their bytes: a frame of large entries would not fit on the wire, and those sent to a follower
 * that does not answer would fill the leader's memory.
 */
final class SlowFollowerGetsBoundedRequestsTest {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final HostId LEADER = new HostId("c0");
  private static final HostId FOLLOWER = new HostId("c1");
  private static final HostId SLOW = new HostId("c2");
  private static final long INCARNATION = 7;
  private static final Duration HEARTBEAT = ConsensusTimeouts.HEARTBEAT_INTERVAL;
  private static final long MAX_REQUEST_BYTES = LogReplicator.MAX_REQUEST_BYTES;

  private final ArrayDeque<AppendRequest<Integer, Integer>> sentToSlow = new ArrayDeque<>();
  private final Replica<Integer, Integer> leader = newLeader();
  private Instant now = START;
  private long sentWithoutReply;

  @ParameterizedTest(name = "{0} entries of {1} bytes")
  @CsvSource({"300, 1000", "300, 100000", "100, 1000000", "20, 5000000"})
  void requestsAreBoundedInBytesAndTheFollowerCatchesUp(int entries, int bytes) {
    elect();
    for (int i = 0; i < entries; i++) {
      handle(new ReplicaEvent.Propose<>(new RequestId("r" + i), bytes));
    }
    assertThat(sentWithoutReply)
        .isLessThanOrEqualTo(
            LogReplicator.MAX_IN_FLIGHT_BYTES + Math.max(MAX_REQUEST_BYTES, bytes));
    assertThat(leader.commitIndex()).isEqualTo(entries + 2);
    sentToSlow.clear();
    assertThat(catchUp(entries + 2))
        .as("the last index of the slow follower")
        .isEqualTo(entries + 2);
  }

  /** Lets the slow follower answer, whose log is empty, and returns its last index at the end. */
  private long catchUp(long target) {
    long lastIndex = 0;
    for (int round = 0; round < 1_000 && lastIndex < target; round++) {
      now = now.plus(HEARTBEAT);
      handle(new ReplicaEvent.Ticked<>());
      while (!sentToSlow.isEmpty()) {
        AppendRequest<Integer, Integer> request = sentToSlow.removeFirst();
        boolean matched = request.previousIndex() <= lastIndex;
        if (matched) {
          lastIndex = Math.max(lastIndex, request.previousIndex() + request.entries().size());
        }
        reply(SLOW, matched, lastIndex, request.sentAt());
      }
    }
    return lastIndex;
  }

  private static Replica<Integer, Integer> newLeader() {
    Membership membership = Membership.of(Set.of(member(LEADER), member(FOLLOWER), member(SLOW)));
    LogEntry<Integer> first =
        new LogEntry<>(1, 1, START, new EntryContent.ChangeMembership<>(membership));
    return new Replica<>(
        LEADER,
        member(LEADER).address(),
        new DurableState<>(
            new HardState(1, Optional.empty(), INCARNATION, Optional.empty()),
            Optional.empty(),
            List.of(first)),
        bytes -> bytes,
        new SplittableRandom(1),
        START);
  }

  private static Member member(HostId host) {
    return new Member(host, new HostAddress(host.value(), 7600), INCARNATION);
  }

  private void elect() {
    now = START.plusSeconds(9);
    handle(new ReplicaEvent.Ticked<>());
    assertThat(leader.leads(now)).isTrue();
  }

  /** Handles the event and what follows from it; the slow follower does not answer. */
  private void handle(ReplicaEvent<Integer, Integer> event) {
    for (ReplicaAction<Integer, Integer> action : leader.handle(event, now)) {
      switch (action) {
        case ReplicaAction.Write<Integer, Integer> write ->
            handle(new ReplicaEvent.Persisted<>(write.sequence()));
        case ReplicaAction.Send<Integer, Integer> send -> onSent(send);
        default -> {}
      }
    }
  }

  private void onSent(ReplicaAction.Send<Integer, Integer> send) {
    switch (send.message()) {
      case VoteRequest<Integer, Integer> vote -> grant(send.to(), vote);
      case AppendRequest<Integer, Integer> request when send.to().equals(SLOW) -> {
        sentWithoutReply += checkedBytes(request);
        sentToSlow.add(request);
      }
      case AppendRequest<Integer, Integer> request -> {
        checkedBytes(request);
        reply(FOLLOWER, true, request.previousIndex() + request.entries().size(), request.sentAt());
      }
      default -> {}
    }
  }

  private void grant(HostId from, VoteRequest<Integer, Integer> vote) {
    if (from.equals(FOLLOWER)) {
      handle(
          new ReplicaEvent.MessageReceived<>(
              from,
              new ConsensusMessage.VoteReply<>(vote.term(), vote.preVote(), true, member(from))));
    }
  }

  private void reply(HostId from, boolean matched, long index, Instant sentAt) {
    handle(
        new ReplicaEvent.MessageReceived<>(
            from,
            new ConsensusMessage.AppendReply<>(
                leader.term(), matched, index, INCARNATION, sentAt)));
  }

  /** Checks that the entries fit in one request, and returns their bytes. */
  private static long checkedBytes(AppendRequest<Integer, Integer> request) {
    List<Long> sizes = request.entries().stream().map(entry -> bytesOf(entry.content())).toList();
    long bytes = sizes.stream().mapToLong(Long::longValue).sum();
    if (sizes.size() > 1) {
      assertThat(bytes).isLessThanOrEqualTo(MAX_REQUEST_BYTES);
    }
    return bytes;
  }

  private static long bytesOf(EntryContent<Integer> content) {
    return content instanceof EntryContent.Proposed<Integer> c ? c.command() : 0;
  }
}
