package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.ReplicatedStateMachine;
import org.cuminwell.core.control.RequestAge;
import org.cuminwell.core.control.StateMachineAction;
import org.cuminwell.core.control.StateMachineMessage;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that a leader, its followers and replicas that replay their journals hold equal states at
 * equal indexes, with messages and journals in their encoded form.
 *
 * <p>Guards against a completed rollout that a restart rolled back, as the leader had applied
 * another duration than its journal held.
 */
final class ReplicasStayEqualTest {

  private static final Duration TICK = Duration.ofMillis(50);
  private static final int ROUNDS = 3;
  private static final int COMMANDS_PER_ROUND = 20;
  private static final int MAX_TICKS = 400;
  private static final List<HostId> HOSTS =
      List.of(new HostId("c0"), new HostId("c1"), new HostId("c2"));

  private final Map<Long, StateSnapshot> stateByIndex = new HashMap<>();
  private final ArrayDeque<Message> messages = new ArrayDeque<>();
  private final Map<HostId, Host> hosts = new TreeMap<>();
  private Instant now = Instant.parse("2030-01-01T00:00:00Z");

  private record Message(HostId from, HostId to, Bytes frame) {}

  @ParameterizedTest
  @MethodSource("seeds")
  void statesAtEqualIndexesAreEqual(long seed) throws WireFormatException {
    RandomCommands commands = new RandomCommands(seed);
    HardState founding = HardState.founding(new Founding(Set.copyOf(HOSTS), Set.of()), 7);
    HOSTS.forEach(id -> hosts.put(id, new Host(id, start(id, DurableState.empty(founding)))));
    for (int round = 0; round < ROUNDS; round++) {
      awaitAgreement();
      for (int i = 0; i < COMMANDS_PER_ROUND; i++) {
        submit(host(HOSTS.get(i % HOSTS.size())), "q" + round + "-" + i, commands.next());
        tick();
      }
      awaitAgreement();
      restartAll();
    }
    awaitAgreement();
    assertThat(stateByIndex).hasSizeGreaterThan(ROUNDS * COMMANDS_PER_ROUND / 2);
  }

  private static LongStream seeds() {
    return LongStream.range(0, 30);
  }

  /** A running control host and what stands in its journal. */
  private static final class Host {
    final HostId id;
    final List<byte[]> journal = new ArrayList<>();
    ReplicatedStateMachine machine;

    Host(HostId id, ReplicatedStateMachine machine) {
      this.id = id;
      this.machine = machine;
    }
  }

  private ReplicatedStateMachine start(HostId id, DurableState<Command, StateSnapshot> durable) {
    return new ReplicatedStateMachine(
        id,
        new HostAddress(id.value(), 7600),
        durable,
        new SplittableRandom(id.hashCode()),
        new LogLimits(25, Long.MAX_VALUE),
        CommandCodec::roundTrip,
        now);
  }

  private void restartAll() throws WireFormatException {
    messages.clear();
    for (Host host : hosts.values()) {
      host.machine = start(host.id, recover(host.journal));
    }
  }

  private Host host(HostId id) {
    return Objects.requireNonNull(hosts.get(id));
  }

  private void submit(Host host, String id, Command command) throws WireFormatException {
    perform(
        host,
        command instanceof Command.CarryOut order
            ? host.machine.submitOrder(new RequestId(id), order.order(), new RequestAge(now), now)
            : host.machine.submit(new RequestId(id), command, now));
  }

  private void awaitAgreement() throws WireFormatException {
    for (int i = 0; i < MAX_TICKS; i++) {
      tick();
      if (hasLeader() && hasEqualIndexes()) {
        return;
      }
    }
    throw new AssertionError("the hosts did not agree");
  }

  private boolean hasLeader() {
    return hosts.values().stream().anyMatch(host -> host.machine.fencingNumber(now).isPresent());
  }

  private boolean hasEqualIndexes() {
    return hosts.values().stream().map(host -> host.machine.appliedIndex()).distinct().count() == 1;
  }

  private void tick() throws WireFormatException {
    now = now.plus(TICK);
    for (Host host : hosts.values()) {
      perform(host, host.machine.onTick(now));
    }
    while (!messages.isEmpty()) {
      deliver(messages.poll());
    }
  }

  private void deliver(Message message) throws WireFormatException {
    var frame = (PeerFrame.Message) PeerFrameCodec.decode(message.frame().toArray());
    StateMachineMessage content = ((PeerMessage.Consensus) frame.message()).message();
    Host to = host(message.to());
    perform(to, to.machine.onMessage(message.from(), content, now));
  }

  private void perform(Host host, List<StateMachineAction> actions) throws WireFormatException {
    checkState(host.machine);
    for (StateMachineAction action : actions) {
      switch (action) {
        case StateMachineAction.Send a ->
            messages.add(
                new Message(host.id, a.to(), encode(new PeerMessage.Consensus(a.message()))));
        case StateMachineAction.Write a -> {
          write(host.journal, a.write());
          perform(host, host.machine.onPersisted(a.write().sequence(), now));
        }
        case StateMachineAction.Answer _, StateMachineAction.StateChanged _ -> {}
      }
    }
  }

  private static Bytes encode(PeerMessage message) {
    return Bytes.copyOf(PeerFrameCodec.encode(new PeerFrame.Message(message)));
  }

  private void checkState(ReplicatedStateMachine machine) {
    StateSnapshot state = machine.state().snapshot();
    StateSnapshot first = stateByIndex.putIfAbsent(machine.appliedIndex(), state);
    assertThat(Optional.ofNullable(first).orElse(state)).isEqualTo(state);
  }

  private static void write(
      List<byte[]> journal, ReplicaAction.Write<Command, StateSnapshot> write) {
    switch (write) {
      case ReplicaAction.Append<Command, StateSnapshot> w ->
          append(journal, w.hardState(), w.entries());
      case ReplicaAction.Replace<Command, StateSnapshot> w -> {
        journal.clear();
        w.durable()
            .snapshot()
            .ifPresent(s -> journal.add(JournalCodec.encode(new JournalRecord.Base(s))));
        append(journal, w.durable().hardState(), w.durable().entries());
      }
    }
  }

  private static void append(
      List<byte[]> journal, HardState hardState, List<LogEntry<Command>> entries) {
    journal.add(JournalCodec.encode(new JournalRecord.Hard(hardState)));
    entries.forEach(entry -> journal.add(JournalCodec.encode(new JournalRecord.Entry(entry))));
  }

  private static DurableState<Command, StateSnapshot> recover(List<byte[]> journal)
      throws WireFormatException {
    Optional<HardState> hardState = Optional.empty();
    Optional<Snapshot<StateSnapshot>> snapshot = Optional.empty();
    TreeMap<Long, LogEntry<Command>> entries = new TreeMap<>();
    for (byte[] bytes : journal) {
      switch (JournalCodec.decode(bytes)) {
        case JournalRecord.Hard r -> hardState = Optional.of(r.state());
        case JournalRecord.Base r -> snapshot = Optional.of(r.snapshot());
        case JournalRecord.Entry r -> {
          entries.tailMap(r.entry().index()).clear();
          entries.put(r.entry().index(), r.entry());
        }
      }
    }
    return new DurableState<>(hardState.orElseThrow(), snapshot, List.copyOf(entries.values()));
  }
}
