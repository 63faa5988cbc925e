package org.cuminwell.shell.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.shell.journal.FaultyStorage.Operation;
import org.cuminwell.shell.metrics.Telemetry;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a disk that fails for a while only delays the acknowledgement of writes: no
 * acknowledged write is lost, and the process keeps running.
 */
@Timeout(60)
final class FailingDiskTest {

  private static final Instant ENTRY_TIME = Instant.parse("2030-01-01T00:00:00Z");
  private static final HardState HARD_STATE =
      new HardState(3, Optional.empty(), 7, Optional.empty());
  private static final int WRITE_COUNT = 8;
  private static final int REPLACE_STEP = 5;

  @TempDir private Path folder;

  /**
   * A temporary disk failure.
   *
   * @param nth which operation of the kind fails first, counted from 1
   * @param failureCount how many operations of any kind fail in a row, including the first
   */
  record Fault(Operation operation, int nth, int failureCount) {
    @Override
    public String toString() {
      return operation + " " + nth + " and " + (failureCount - 1) + " operations after it";
    }
  }

  static Stream<Fault> faults() {
    return Stream.of(Operation.values())
        .flatMap(
            operation ->
                IntStream.rangeClosed(1, 24)
                    .boxed()
                    .flatMap(nth -> Stream.of(1, 4).map(n -> new Fault(operation, nth, n))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void everySyncedWriteIsRecoveredAfterACrashAtAnySync(Fault fault) throws IOException {
    FaultyStorage storage = new FaultyStorage();
    try (Journal journal = Journal.open(storage, folder.resolve("data"), () -> HARD_STATE)) {
      storage.failFrom(fault.operation(), fault.nth(), fault.failureCount());
      for (int step = 1; step <= WRITE_COUNT; step++) {
        write(journal, step);
        while (!trySync(journal)) {
          assertThat(recoverFromCopy(step)).isIn(entries(step - 1), entries(step));
        }
        assertThat(recoverFromCopy(step)).isEqualTo(entries(step));
      }
    }
  }

  @ParameterizedTest(name = "full for {0} ms")
  @ValueSource(ints = {0, 600})
  void fullDiskEndsNoProcessAndWritesAreRetriedUntilTheySucceed(int millis) throws Exception {
    Path data = folder.resolve("data");
    CompletableFuture<Long> synced = new CompletableFuture<>();
    try (Journal journal = Journal.open(data, () -> HARD_STATE);
        JournalDuty duty =
            new JournalDuty(journal, synced::complete, new Telemetry(InstantSource.system()))) {
      Path unfinished = data.resolve("journal-2.tmp");
      Files.createSymbolicLink(unfinished, Path.of("/dev/full"));
      duty.enqueue(new ReplicaAction.Replace<>(1, state(3)));
      duty.enqueue(new ReplicaAction.Append<>(2, HARD_STATE, entries(4).subList(3, 4)));
      Thread.sleep(millis);
      assertThat(synced).isNotDone();
      Files.delete(unfinished);
      assertThat(synced.get(20, TimeUnit.SECONDS)).isIn(1L, 2L);
    }
  }

  /** Writes the entry of the step, or at the replace step the whole state up to it. */
  private static void write(Journal journal, int step) {
    ReplicaAction.Write<Command, StateSnapshot> write =
        step == REPLACE_STEP
            ? new ReplicaAction.Replace<>(step, state(step))
            : new ReplicaAction.Append<>(step, HARD_STATE, entries(step).subList(step - 1, step));
    try {
      journal.write(write);
    } catch (JournalException e) {
      assertThat(e).hasMessageContaining("No space left");
    }
  }

  private static boolean trySync(Journal journal) {
    try {
      journal.sync();
      return true;
    } catch (JournalException e) {
      assertThat(e).hasMessageContaining("No space left");
      return false;
    }
  }

  /** Returns the entries that a process recovers if it starts from the current disk content. */
  private List<LogEntry<Command>> recoverFromCopy(int step) throws IOException {
    Path copy = folder.resolve("copy" + step);
    Files.createDirectories(copy);
    try (Stream<Path> old = Files.list(copy)) {
      for (Path file : old.toList()) {
        Files.delete(file);
      }
    }
    try (Stream<Path> files = Files.list(folder.resolve("data"))) {
      for (Path file : files.toList()) {
        Files.copy(file, copy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
    try (Journal journal = Journal.open(copy, () -> HARD_STATE)) {
      return journal.recovered().entries();
    }
  }

  private static DurableState<Command, StateSnapshot> state(int entries) {
    return new DurableState<>(HARD_STATE, Optional.empty(), entries(entries));
  }

  private static List<LogEntry<Command>> entries(int count) {
    List<LogEntry<Command>> all = new ArrayList<>();
    for (int index = 1; index <= count; index++) {
      all.add(new LogEntry<>(index, 3, ENTRY_TIME, new EntryContent.NoOp<>()));
    }
    return all;
  }
}
