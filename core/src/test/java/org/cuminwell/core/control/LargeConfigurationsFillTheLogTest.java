package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.cuminwell.core.config.LargeConfigurations;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a log whose number of entries is bounded but not their bytes: after hundreds of
 * changes of a large configuration no control host had the memory to start.
 */
final class LargeConfigurationsFillTheLogTest {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Duration ELECTION_TIME = Duration.ofSeconds(9);
  private static final HostId SELF = new HostId("c0");
  private static final HostAddress ADDRESS = new HostAddress("c0", 7600);
  private static final LogLimits LIMITS = new LogLimits(1_024, 4 * 1024 * 1024);

  private DurableState<Command, StateSnapshot> disk = founding(Set.of(SELF));

  @ParameterizedTest(name = "{0} changes of {1} routes")
  @CsvSource({"500, 358", "100, 1000", "20, 5000", "2000, 1"})
  void logAndDiskStayWithinTheirBytes(int changes, int routes) {
    ReplicatedStateMachine stateMachine = start();
    long maxBytes = LIMITS.maxBytes() + replace(1, routes).bytes();
    for (int version = 1; version <= changes; version++) {
      submit(stateMachine, version, routes);
      assertThat(stateMachine.logBytes()).isLessThanOrEqualTo(maxBytes);
      assertThat(bytesOnDisk()).isLessThanOrEqualTo(maxBytes);
    }
    assertThat(start().state().document().version()).isEqualTo(changes);
  }

  @ParameterizedTest(name = "{0} submissions of {1} routes without a quorum")
  @CsvSource({"100, 358", "20, 5000", "3, 10000"})
  void waitingCommandsStayWithinTheirBytes(int submissions, int routes) {
    ReplicatedStateMachine stateMachine =
        startFirst(Set.of(SELF, new HostId("c1"), new HostId("c2")));
    List<StateMachineAction> answers = new ArrayList<>();
    long submittedBytes = 0;
    for (int version = 1; version <= submissions; version++) {
      submittedBytes += replace(version, routes).bytes();
      answers.addAll(submit(stateMachine, version, routes));
    }
    long commandBytes = replace(1, routes).bytes();
    long waitingBytes = submittedBytes - answers.size() * commandBytes;
    assertThat(waitingBytes).isBetween(1L, Math.max(commandBytes, LIMITS.maxBytes()));
    assertThat(answers).allMatch(StateMachineAction.Answer.class::isInstance);
  }

  private ReplicatedStateMachine startFirst(Set<HostId> founders) {
    disk = founding(founders);
    return start();
  }

  private static DurableState<Command, StateSnapshot> founding(Set<HostId> founders) {
    return DurableState.empty(HardState.founding(new Founding(founders, Set.of()), 7));
  }

  /** Starts a host from the disk and elects it if it can be. */
  private ReplicatedStateMachine start() {
    ReplicatedStateMachine stateMachine =
        new ReplicatedStateMachine(
            SELF, ADDRESS, disk, new SplittableRandom(1), LIMITS, command -> command, START);
    perform(stateMachine, stateMachine.onTick(START.plus(ELECTION_TIME)));
    return stateMachine;
  }

  /** Submits a configuration, and returns the answers. */
  private List<StateMachineAction> submit(
      ReplicatedStateMachine stateMachine, int version, int routes) {
    Instant now = START.plus(ELECTION_TIME);
    RequestId id = new RequestId("r" + version);
    return perform(stateMachine, stateMachine.submit(id, replace(version, routes), now));
  }

  /** Performs the writes and what follows from them, and returns the answers. */
  private List<StateMachineAction> perform(
      ReplicatedStateMachine stateMachine, List<StateMachineAction> actions) {
    List<StateMachineAction> answers = new ArrayList<>();
    for (StateMachineAction action : actions) {
      if (action instanceof StateMachineAction.Write write) {
        apply(write.write());
        Instant now = START.plus(ELECTION_TIME);
        answers.addAll(
            perform(stateMachine, stateMachine.onPersisted(write.write().sequence(), now)));
      } else if (action instanceof StateMachineAction.Answer) {
        answers.add(action);
      }
    }
    return answers;
  }

  private void apply(ReplicaAction.Write<Command, StateSnapshot> write) {
    disk =
        switch (write) {
          case ReplicaAction.Append<Command, StateSnapshot> a ->
              new DurableState<>(
                  a.hardState(),
                  disk.snapshot(),
                  Stream.concat(disk.entries().stream(), a.entries().stream()).toList());
          case ReplicaAction.Replace<Command, StateSnapshot> r -> r.durable();
        };
  }

  private long bytesOnDisk() {
    return disk.entries().stream()
        .map(LogEntry::content)
        .mapToLong(content -> bytes(content))
        .sum();
  }

  private static long bytes(EntryContent<Command> content) {
    return content instanceof EntryContent.Proposed<Command> c ? c.command().bytes() : 0;
  }

  private static Command replace(int version, int routes) {
    return new Command.ReplaceConfiguration(
        LargeConfigurations.document(version, routes),
        LargeConfigurations.content(version, routes));
  }
}
